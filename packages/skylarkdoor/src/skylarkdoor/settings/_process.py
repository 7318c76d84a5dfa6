"""Settings of one process: addresses, data centre, platform and limits."""

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings._convert import convert
from skylarkdoor.settings._describe import SECRET
from skylarkdoor.settings._read import read_document

Address = Annotated[
    str, Meta(pattern=r"^[^\s:]+:\d{1,5}$", description="an address as host:port")
]
Url = Annotated[str, Meta(pattern=r"^https?://", description="an http or https URL")]
Name = Annotated[
    str,
    Meta(
        pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$",
        description="a name of lower-case letters, digits, dots and hyphens",
    ),
]
Count = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0, description="a number of seconds")]
Ratio = Annotated[float, Meta(ge=0, le=1, description="a share")]
KeyHash = Annotated[
    str,
    Meta(
        pattern=r"^[0-9a-f]{64}$",
        description="a SHA-256 hash as 64 hex digits",
        extra=SECRET,
    ),
]


class CertificateFiles(NamedTuple):
    """The TLS certificate that a process presents to callers.

    Attributes:
        certificate: PEM file with the certificate, followed by its chain of
            intermediate certificates.
        key: PEM file with the private key.
    """

    certificate: str
    key: str


class MutualTls(NamedTuple):
    """Mutual TLS authentication between the processes of a deployment.

    Attributes:
        certificate: PEM file with this instance's certificate, issued for the
            instance's name.
        key: PEM file with its private key.
        authority: PEM file with the certificate authorities that sign the
            certificates of all instances.
    """

    certificate: str
    key: str
    authority: str


class Listen(NamedTuple):
    """Addresses on which a process listens, as `host:port`.

    Attributes:
        internal: HTTP for other processes, operators, health checks and metrics.
        callers: HTTP for callers; entries only.
        rpc: Control streams from entries; sidecars only.
        tls: Certificate for the address `callers`; plain HTTP if absent.
    """

    internal: Address
    callers: Address | None = None
    rpc: Address | None = None
    tls: CertificateFiles | None = None


class PlatformAddresses(NamedTuple):
    """Addresses of the platform's services.

    Attributes:
        table: Endpoints of the transactional table, tried in turn.
        objects: The object store.
        instances: The list of instances that are live or draining.
        weights: The weight store.
    """

    table: tuple[Url, ...]
    objects: Url
    instances: Url
    weights: Url


class Upstream(NamedTuple):
    """The upstream beside a sidecar.

    Attributes:
        url: Its base URL.
        pool: The pool that it serves.
    """

    url: Url
    pool: Name


class Limits(NamedTuple):
    """Resource limits of one process.

    Attributes:
        max_body_bytes: Largest accepted request body.
        max_waiting: Requests that wait for dispatch in an entry.
        max_waiting_bytes: Total size of the bodies of those requests, with those that
            are still being received.
        body_timeout_s: Time within which a caller must send its body.
        drain_timeout_s: Time for which a graceful shutdown waits for requests.
        max_sidecars: Sidecars of one pool to which an entry connects.
        head_timeout_s: Time within which the head of a request must arrive.
        idle_timeout_s: Time after which an idle connection is closed.
        max_connections: Connections of callers, or to the internal address of a
            sidecar; None to derive them from the descriptors that it may open.
    """

    max_body_bytes: Count = 4 * 1024 * 1024
    max_waiting: Count = 2000
    max_waiting_bytes: Count = 256 * 1024 * 1024
    body_timeout_s: Seconds = 30.0
    drain_timeout_s: Seconds = 600.0
    max_sidecars: Count = 24
    head_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 300.0
    max_connections: Count | None = None


class ProcessSettings(NamedTuple):
    """The content of the settings file of one process.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        data_centre: Data centre in which it runs.
        listen: Its addresses.
        platform: The platform's addresses.
        upstream: The upstream beside it; sidecars only.
        limits: Its resource limits.
        operator_token_hashes: Hashes of the tokens that may change every subtree,
            for the initial setup of a deployment.
        fatal_invariants: Whether a broken invariant ends the process.
        log_level: Lowest level that is logged.
        trace_ratio: Share of the traces started in this process that are sampled.
        internal_tls: Mutual TLS between processes; plain TCP if absent.
    """

    instance: Name
    data_centre: Name
    listen: Listen
    platform: PlatformAddresses
    upstream: Upstream | None = None
    limits: Limits = Limits()
    operator_token_hashes: tuple[KeyHash, ...] = ()
    fatal_invariants: bool = False
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    trace_ratio: Ratio = 1.0
    internal_tls: MutualTls | None = None


def load_process(path: str | Path) -> ProcessSettings:
    """Read and validate the settings file of a process.

    Raises:
        SettingsError: The file cannot be read, is malformed or has invalid
            values; the message names the file, line and path.
    """
    document = read_document(path)
    try:
        return convert(document.value, ProcessSettings, source=document.source)
    except SettingsError as error:
        raise document.locate(error) from None
