"""Client of the instance list, which uses Prometheus HTTP service discovery."""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from skylarkdoor import untrusted_json
from skylarkdoor.addresses import parse_address
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
    records = (_read_group(group) for group in _groups(body))
    return [record for record in records if record is not None]


def _groups(body: bytes) -> Sequence[Any]:
    try:
        return untrusted_json.decode(body, type_=list[msgspec.Raw])
    except msgspec.MsgspecError:
        # A record with text that can't be encoded must not hide the others. The
        # slower reader passes over it.
        pass
    try:
        groups = untrusted_json.loads(body)
    except ValueError as error:
        raise ListUnavailable(f"malformed instance list: {error}") from error
    if not isinstance(groups, list):
        raise ListUnavailable("malformed instance list: expected a list")
    return groups


def _read_group(group: Any) -> InstanceRecord | None:
    # A malformed record must not hide changes of the other instances.
    try:
        if isinstance(group, msgspec.Raw):
            read = untrusted_json.decode(group, type_=_TargetGroup)
        else:
            read = msgspec.convert(group, _TargetGroup)
        record = InstanceRecord(*msgspec.structs.astuple(read.labels))
        for address in filter(None, (record.http, record.rpc)):
            parse_address(address)
        for text in record:
            text.encode()
    except ValueError:
        return None
    return record
