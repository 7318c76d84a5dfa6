"""Builds the commands and settings files that start a deployment's processes."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import (
    Limits,
    Listen,
    PlatformAddresses,
    ProcessSettings,
    Upstream,
    to_plain,
)
from skylarkdoor_bench._deployments import (
    OPERATOR_TOKEN,
    Deployment,
    EngineSpec,
    EntrySpec,
    ServiceSpec,
)
from skylarkdoor_bench._ports import HOST, free_port

_STANDINS = "skylarkdoor_standins"
_DAEMON = "skylarkdoord"


class StandinCommand(NamedTuple):
    """Start command and base URL of a stand-in."""

    name: str
    arguments: tuple[str, ...]
    url: str


class DaemonCommand(NamedTuple):
    """Role and settings with which a daemon is started."""

    role: str
    settings: ProcessSettings

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.settings.instance

    @property
    def internal_url(self) -> str:
        """Base URL of the health, metrics and status endpoints."""
        return f"http://{self.settings.listen.internal}"

    def with_new_addresses(self, limits: Limits | None) -> "DaemonCommand":
        """Return the command with new addresses, and with new limits if given."""
        old = self.settings.listen
        listen = Listen(
            internal=_address(),
            callers=_address() if old.callers else None,
            rpc=_address() if old.rpc else None,
        )
        settings = self.settings._replace(
            listen=listen, limits=limits or self.settings.limits
        )
        return self._replace(settings=settings)

    def write(self, directory: Path) -> tuple[str, ...]:
        """Write the settings file and return the arguments that start the daemon."""
        path = directory / f"{self.name}.json"
        path.write_text(json.dumps(_without_none(to_plain(self.settings)), indent=2))
        return (_DAEMON, self.role, "--settings", str(path))


def platform_command(deployment: Deployment) -> StandinCommand:
    """Return the command that starts the platform."""
    port = free_port()
    options = {"--port": port, "--lag": deployment.list_lag_s}
    return _standin("platform", "platform", port, options)


def engine_command(
    spec: EngineSpec, deployment: Deployment, *, seed: int
) -> StandinCommand:
    """Return the command that starts an engine."""
    port = free_port()
    options = {
        "--port": port,
        "--model": spec.model,
        "--prefill-tps": spec.prefill_tps,
        "--decode-tps": spec.decode_tps,
        "--max-batch": spec.max_batch,
        "--cache-tokens": spec.cache_tokens,
        "--fencing": spec.fencing,
        "--seed": seed,
        "--time-scale": deployment.time_scale,
        "--crash-on": deployment.crash_on,
    }
    return _standin(spec.name, "engine", port, options)


def service_command(spec: ServiceSpec, deployment: Deployment) -> StandinCommand:
    """Return the command that starts a plain service."""
    port = free_port()
    options = {
        "--port": port,
        "--latency-s": spec.latency_s,
        "--concurrency": spec.concurrency,
        "--crash-on": deployment.crash_on,
    }
    return _standin(spec.name, "service", port, options)


def entry_command(spec: EntrySpec, platform_url: str) -> DaemonCommand:
    """Return the command that starts an entry."""
    listen = Listen(internal=_address(), callers=_address())
    settings = _process_settings(spec.name, spec.data_centre, listen, platform_url)
    return DaemonCommand("entry", settings)


def sidecar_command(
    spec: EngineSpec | ServiceSpec, upstream_url: str, platform_url: str
) -> DaemonCommand:
    """Return the command that starts an upstream's sidecar."""
    listen = Listen(internal=_address(), rpc=_address())
    name = sidecar_name(spec.name)
    settings = _process_settings(name, spec.data_centre, listen, platform_url)
    upstream = Upstream(url=upstream_url, pool=spec.pool)
    return DaemonCommand("sidecar", settings._replace(upstream=upstream))


def sidecar_name(upstream: str) -> str:
    """Return the name of an upstream's sidecar."""
    return f"sidecar-{upstream}"


def _standin(
    name: str, kind: str, port: int, options: Mapping[str, object]
) -> StandinCommand:
    words = [str(part) for option in options.items() for part in option]
    return StandinCommand(name, (_STANDINS, kind, *words), f"http://{HOST}:{port}")


def _process_settings(
    name: str, data_centre: str, listen: Listen, platform_url: str
) -> ProcessSettings:
    addresses = PlatformAddresses(
        table=(platform_url,),
        objects=platform_url,
        instances=platform_url,
        weights=platform_url,
    )
    return ProcessSettings(
        instance=name,
        data_centre=data_centre,
        listen=listen,
        platform=addresses,
        operator_token_hashes=(key_hash(OPERATOR_TOKEN),),
        fatal_invariants=True,
    )


def _address() -> str:
    return f"{HOST}:{free_port()}"


def _without_none(document: dict[str, object]) -> dict[str, object]:
    kept = {}
    for name, value in document.items():
        if isinstance(value, dict):
            value = _without_none(value)
        if value is not None:
            kept[name] = value
    return kept
