"""Client of the instance list, which uses Prometheus HTTP service discovery."""

from typing import NamedTuple

import msgspec

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import NoResponseError, request
from skylarkdoor.clients.exceptions import ListUnavailable

LIST_TIMEOUT_S = 2.0


class InstanceRecord(NamedTuple):
    """An instance in the instance list.

    Attributes:
        instance: Name of the instance.
        role: `entry` or `sidecar`.
        data_centre: Data centre in which it runs.
        pool: Pool that it serves, empty for an entry.
        state: `live`, or `leaving` while it drains.
        http: Its HTTP address as host:port, empty if it has none.
        rpc: Its address for streams as host:port, empty if it has none.
    """

    instance: str
    role: str
    data_centre: str
    pool: str
    state: str
    http: str
    rpc: str


class _Labels(msgspec.Struct):
    instance: str
    role: str
    data_centre: str
    pool: str = ""
    state: str = "live"
    http: str = ""
    rpc: str = ""


class _TargetGroup(msgspec.Struct):
    labels: _Labels


class InstanceList(Client):
    """Reads the list of instances, which lags behind their actual state.

    See `Client` for the arguments.
    """

    default_timeout_s = LIST_TIMEOUT_S

    async def fetch(self) -> list[InstanceRecord]:
        """Return the listed instances, without records that lack required labels.

        Raises:
            ListUnavailable: The service did not respond, or the response is
                malformed.
        """
        try:
            response = await request(
                self.session,
                self.endpoints,
                "GET",
                "/sd/instances",
                timeout=self.timeout,
            )
        except NoResponseError as error:
            raise ListUnavailable(str(error)) from error
        if response.status != 200:
            raise ListUnavailable(f"status {response.status}")
        return _read(response.body)


def _read(body: bytes) -> list[InstanceRecord]:
    try:
        groups = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise ListUnavailable(f"malformed instance list: {error}") from error
    records = (_read_group(group) for group in groups)
    return [record for record in records if record is not None]


def _read_group(body: msgspec.Raw) -> InstanceRecord | None:
    # A malformed record must not hide changes of the other instances.
    try:
        group = msgspec.json.decode(body, type=_TargetGroup)
    except msgspec.MsgspecError:
        return None
    return InstanceRecord(*msgspec.structs.astuple(group.labels))
