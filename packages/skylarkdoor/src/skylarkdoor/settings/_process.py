"""Settings of one process: its addresses, data centre and platform."""

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
    """A certificate for callers.

    Attributes:
        certificate: PEM file with the certificate and those that lead to its
            authority.
        key: PEM file with its private key.
    """

    certificate: str
    key: str


class MutualTls(NamedTuple):
    """How the processes of a deployment know each other.

    Attributes:
        certificate: PEM file with this instance's certificate, issued for the
            instance's name.
        key: PEM file with its private key.
        authority: PEM file with the authorities that sign every instance's
            certificate.
    """

    certificate: str
    key: str
    authority: str


class Listen(NamedTuple):
    """Addresses on which a process listens, as `host:port`.

    Attributes:
        internal: HTTP between processes, health, metrics and operators.
        callers: HTTP for callers; entries only.
        rpc: Control streams; sidecars only.
        tls: Certificate for callers; plain HTTP without one.
    """

    internal: Address
    callers: Address | None = None
    rpc: Address | None = None
    tls: CertificateFiles | None = None


class PlatformAddresses(NamedTuple):
    """Addresses of the platform's services.

    Attributes:
        table: The transactional table; the next is tried when one refuses.
        objects: The object store.
        instances: The list of live and leaving instances.
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
    """Bounds of one process.

    Attributes:
        max_body_bytes: Largest request body taken.
        max_waiting: Requests an entry holds that are not yet dispatched.
        max_waiting_bytes: Bytes of the bodies of those requests.
        body_timeout_s: Longest time a caller may take to send its body.
        drain_timeout_s: Longest time a graceful shutdown waits for requests.
        max_sidecars: Sidecars of one pool to which an entry connects.
    """

    max_body_bytes: Count = 4 * 1024 * 1024
    max_waiting: Count = 2000
    max_waiting_bytes: Count = 256 * 1024 * 1024
    body_timeout_s: Seconds = 30.0
    drain_timeout_s: Seconds = 600.0
    max_sidecars: Count = 24


class ProcessSettings(NamedTuple):
    """Everything that one process reads from its own settings file.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        data_centre: Data centre in which it runs.
        listen: Its addresses.
        platform: The platform's addresses.
        upstream: The upstream beside it; sidecars only.
        limits: Bounds of this process.
        operator_token_hashes: Hashes of tokens that may change every subtree,
            for the first set-up of a deployment.
        fatal_invariants: Whether a broken invariant ends the process.
        log_level: Lowest level logged.
        trace_ratio: Share of new traces that are kept.
        internal_tls: Mutual TLS between processes; plain TCP without it.
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
    """Read and check the settings file of a process.

    Raises:
        SettingsError: The file is absent, malformed or wrong; the message
            names file, line and path.
    """
    document = read_document(path)
    try:
        return convert(document.value, ProcessSettings, source=document.source)
    except SettingsError as error:
        raise document.locate(error) from None
