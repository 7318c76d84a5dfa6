"""Who may change what."""

from collections.abc import Mapping
from typing import NamedTuple

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Fleet
from skylarkdoord.admin._paths import is_within
from skylarkdoord.admin.exceptions import ScopeError, UnauthorizedError

EVERYTHING = "/"
DEPLOYMENT_OPERATOR = "deployment"
_SCHEME = "Bearer "


class Caller(NamedTuple):
    """The operator who makes a request.

    Attributes:
        name: The operator's name.
        scope: Path below which the operator may act.
    """

    name: str
    scope: str

    def covers(self, path: str) -> bool:
        """Return whether the path lies within the operator's scope."""
        return is_within(path, self.scope)

    def require(self, path: str) -> None:
        """Check that the operator may act at a path.

        Raises:
            ScopeError: The path lies outside the operator's scope.
        """
        if not self.covers(path):
            raise ScopeError(f"{self.name} may act below {self.scope} only")


def authenticate(
    headers: Mapping[str, str], fleet: Fleet, deployment_hashes: tuple[str, ...]
) -> Caller:
    """Return the operator whose token a request bears.

    Args:
        headers: Headers of the request.
        fleet: The fleet's settings in force here.
        deployment_hashes: Hashes of the tokens that the process's own settings
            name; their scope is everything.

    Raises:
        UnauthorizedError: The token is absent or nobody's.
    """
    given = headers.get("Authorization", "")
    if not given.startswith(_SCHEME):
        raise UnauthorizedError("expected Authorization: Bearer TOKEN")
    hashed = key_hash(given.removeprefix(_SCHEME).strip())
    if hashed in deployment_hashes:
        return Caller(DEPLOYMENT_OPERATOR, EVERYTHING)
    for name, operator in fleet.operators.items():
        if hashed in operator.token_hashes:
            return Caller(name, operator.scope)
    raise UnauthorizedError("no operator has this token")
