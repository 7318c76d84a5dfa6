"""Authentication of operators and their scopes."""

from collections.abc import Mapping
from typing import NamedTuple

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Fleet
from skylarkdoord.admin._paths import is_within
from skylarkdoord.admin.exceptions import ScopeError, UnauthorizedError

ROOT_SCOPE = "/"
DEPLOYMENT_OPERATOR = "deployment"
_BEARER_PREFIX = "Bearer "


class AuthenticatedOperator(NamedTuple):
    """The operator who makes a request.

    Attributes:
        name: The operator's name.
        scope: Settings path at and below which the operator may act.
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
            raise ScopeError(
                f"operator {self.name} may act only at and below {self.scope}"
            )


def authenticate(
    headers: Mapping[str, str], fleet: Fleet, deployment_hashes: tuple[str, ...]
) -> AuthenticatedOperator:
    """Return the operator whose bearer token a request contains.

    Args:
        headers: Headers of the request.
        fleet: The fleet's settings active in this process.
        deployment_hashes: Hashes of the tokens in the process's own settings; their
            scope is not restricted.

    Raises:
        UnauthorizedError: The token is missing or belongs to no operator.
    """
    header = headers.get("Authorization", "")
    if not header.startswith(_BEARER_PREFIX):
        raise UnauthorizedError("expected Authorization: Bearer TOKEN")
    token_hash = key_hash(header.removeprefix(_BEARER_PREFIX).strip())
    if token_hash in deployment_hashes:
        return AuthenticatedOperator(DEPLOYMENT_OPERATOR, ROOT_SCOPE)
    for name, operator in fleet.operators.items():
        if token_hash in operator.token_hashes:
            return AuthenticatedOperator(name, operator.scope)
    raise UnauthorizedError("no operator has this token")
