"""What each role needs of its process settings."""

from typing import NamedTuple

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import entry, sidecar
from skylarkdoord._process import Builder
from skylarkdoord.common import TlsService


class Role(NamedTuple):
    """A role that a process can take.

    Attributes:
        name: Its name on the command line.
        build: Registers its services.
        needs: Paths of optional settings that the role cannot do without.
    """

    name: str
    build: Builder
    needs: tuple[str, ...]


ENTRY = Role("entry", entry.build, ("listen.callers",))
SIDECAR = Role("sidecar", sidecar.build, ("listen.rpc", "upstream"))
ROLES = {role.name: role for role in (ENTRY, SIDECAR)}


def check_role(role: Role, settings: ProcessSettings, *, source: str) -> None:
    """Check that settings are enough for a role and that their files load.

    Raises:
        SettingsError: A setting that the role needs is missing.
        TlsError: A certificate, key or authority cannot be loaded.
    """
    for path in role.needs:
        if _value(settings, path) is None:
            raise SettingsError(
                f"missing field that the role {role.name} needs",
                path=path,
                source=source,
            )
    TlsService(settings).load()


def _value(settings: ProcessSettings, path: str) -> object:
    value: object = settings
    for name in path.split("."):
        value = getattr(value, name)
    return value
