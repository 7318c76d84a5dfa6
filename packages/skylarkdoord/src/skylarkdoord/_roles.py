"""The entry and sidecar roles and the process settings that each requires."""

from typing import NamedTuple

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import entry, sidecar
from skylarkdoord._process import Builder
from skylarkdoord.common import TlsService


class Role(NamedTuple):
    """A role in which a process can run.

    Attributes:
        name: Name of the role on the command line.
        build: Registers the services of the role.
        required_settings: Paths of the optional settings that the role requires.
    """

    name: str
    build: Builder
    required_settings: tuple[str, ...]


ENTRY = Role("entry", entry.build, ("listen.callers",))
SIDECAR = Role("sidecar", sidecar.build, ("listen.rpc", "upstream"))
ROLES = {role.name: role for role in (ENTRY, SIDECAR)}


def check_role(role: Role, settings: ProcessSettings, *, source: str) -> None:
    """Check that settings are complete for a role and that their TLS files load.

    Args:
        role: The role.
        settings: Settings of the process.
        source: Path of the settings file, for error messages.

    Raises:
        SettingsError: A setting that the role requires is missing.
        TlsError: A certificate, key or authority file cannot be loaded.
    """
    for path in role.required_settings:
        if _value_at(settings, path) is None:
            raise SettingsError(
                f"missing field, required by the role {role.name}",
                path=path,
                source=source,
            )
    TlsService(settings).load()


def _value_at(settings: ProcessSettings, path: str) -> object:
    value: object = settings
    for name in path.split("."):
        value = getattr(value, name)
    return value
