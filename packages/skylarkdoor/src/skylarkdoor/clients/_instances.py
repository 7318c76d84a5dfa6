"""The platform's list of instances, as Prometheus HTTP service discovery."""

from typing import NamedTuple

import msgspec

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import NoAnswerError, request
from skylarkdoor.clients.exceptions import ListUnavailable

LIST_TIMEOUT_S = 2.0


class InstanceRecord(NamedTuple):
    """An instance as listed.

    The role is ``entry`` or ``sidecar``; the state is ``live`` or ``leaving``;
    ``http`` and ``rpc`` are host:port addresses, empty where there is none.
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
    """The list of instances, which lags behind the truth.

    See `Client` for the arguments.
    """

    default_timeout_s = LIST_TIMEOUT_S

    async def fetch(self) -> list[InstanceRecord]:
        """Return the instances listed, without entries that lack labels.

        Raises:
            ListUnavailable: The list did not answer, or not in its form.
        """
        try:
            answer = await request(
                self.session,
                self.endpoints,
                "GET",
                "/sd/instances",
                timeout=self.timeout,
            )
        except NoAnswerError as error:
            raise ListUnavailable(str(error)) from error
        if answer.status != 200:
            raise ListUnavailable(f"status {answer.status}")
        return _read(answer.body)


def _read(body: bytes) -> list[InstanceRecord]:
    try:
        groups = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise ListUnavailable(f"not a list of instances: {error}") from error
    records = (_read_group(group) for group in groups)
    return [record for record in records if record is not None]


def _read_group(body: msgspec.Raw) -> InstanceRecord | None:
    # One bad entry must not hide how all the others change.
    try:
        group = msgspec.json.decode(body, type=_TargetGroup)
    except msgspec.MsgspecError:
        return None
    return InstanceRecord(*msgspec.structs.astuple(group.labels))
