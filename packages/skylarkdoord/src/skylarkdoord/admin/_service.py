"""HTTP handlers of the operators' API on an entry's internal address."""

import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from skylarkdoor import events, untrusted_json
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.admin._editor import Change, SettingsEditor
from skylarkdoord.admin._error_responses import handle_errors
from skylarkdoord.admin._instances import InstanceClient
from skylarkdoord.admin._operators import (
    ROOT_SCOPE,
    AuthenticatedOperator,
    authenticate,
)
from skylarkdoord.admin._paths import SettingsPath, overlaps, parse_path, value_at
from skylarkdoord.admin._reader import SettingsReader
from skylarkdoord.admin.exceptions import AbsentError, InvalidError, Problem
from skylarkdoord.common import InternalServer, Platform, SettingsService, TlsService
from skylarkdoord.common import _headers as headers
from skylarkdoord.common import _rows as rows


class _PutBody(msgspec.Struct, forbid_unknown_fields=True):
    document: Any
    expect_revision: int | None = None


class AdminService:
    """Serves the routes under `/admin`.

    Args:
        settings: Settings of this process.
        on_accepted: Called after each accepted change.
    """

    name = "admin"
    requires: tuple[str, ...] = ("platform", "settings", "tls")

    def __init__(
        self, settings: ProcessSettings, *, on_accepted: Callable[[], None]
    ) -> None:
        self.settings = settings
        self.on_accepted = on_accepted
        self.log = events.get_logger("admin")

    async def start(self, kernel: Kernel) -> None:
        """Add the routes."""
        platform = kernel.find("platform", Platform)
        self.settings_service = kernel.find("settings", SettingsService)
        self.reader = SettingsReader(
            platform.table, self.settings_service.view.revision
        )
        self.editor = SettingsEditor(platform.table, self.reader)
        self.instances = InstanceClient(
            platform.instances, kernel.find("tls", TlsService)
        )
        internal = kernel.find("internal", InternalServer)
        for method, path, handler in (
            ("GET", "/admin/settings", self.get_subtrees),
            ("GET", "/admin/settings/{path:.+}", self.get_settings),
            ("PUT", "/admin/settings/{path:.+}", self.put_settings),
            ("DELETE", "/admin/settings/{path:.+}", self.delete_settings),
            ("GET", "/admin/history/{path:.+}", self.get_history),
            ("GET", "/admin/instances", self.get_instances),
            ("POST", "/admin/drain/{instance}", self.post_drain),
        ):
            internal.add_route(method, path, handle_errors(handler))

    async def stop(self) -> None:
        """Close the connections to other instances."""
        await self.instances.close()

    async def get_subtrees(self, request: web.Request) -> web.Response:
        """Return the subtrees within the operator's scope."""
        operator = self.operator(request)
        found = await self.reader.all_rows()
        subtrees = []
        for path, stored in sorted(found.rows.items()):
            row = rows.decode_settings(stored.value, subtree=path)
            if row.document is not None and overlaps(path, operator.scope):
                subtrees.append(_summary(path, row))
        return web.json_response({"subtrees": subtrees})

    async def get_settings(self, request: web.Request) -> web.Response:
        """Return the value at a path."""
        path = self.path(request, self.operator(request))
        found = await self.reader.row(path.subtree)
        if found is None:
            raise AbsentError(f"no value at {path.full}")
        row = rows.decode_settings(found.value, subtree=path.subtree)
        answer = {
            "path": path.full,
            "subtree": path.subtree,
            "revision": row.revision,
            "document": value_at(row.document, path),
        }
        return web.json_response(answer)

    async def put_settings(self, request: web.Request) -> web.Response:
        """Set the value at a path."""
        operator = self.operator(request)
        path = self.path(request, operator)
        try:
            body = untrusted_json.decode(await request.read(), type_=_PutBody)
        except msgspec.MsgspecError as error:
            raise InvalidError([Problem(path.full, str(error))]) from None
        change = Change(
            path=path,
            value=body.document,
            is_removal=False,
            expect_revision=body.expect_revision,
            author=operator.name,
            operation=_operation_id(request, operator),
        )
        return await self.apply(change)

    async def delete_settings(self, request: web.Request) -> web.Response:
        """Remove the value at a path."""
        operator = self.operator(request)
        path = self.path(request, operator)
        change = Change(
            path=path,
            value=None,
            is_removal=True,
            expect_revision=_expected_revision(request, path),
            author=operator.name,
            operation=_operation_id(request, operator),
        )
        return await self.apply(change)

    async def apply(self, change: Change) -> web.Response:
        """Store a change and apply it in this process immediately."""
        accepted = await self.editor.apply(change)
        if accepted.row is not None:
            self.publish(accepted.subtree, accepted.row)
        answer = {
            "subtree": accepted.subtree,
            "revision": accepted.revision,
            "changed": list(accepted.changed),
        }
        return web.json_response(answer)

    def publish(self, subtree: str, row: rows.SettingsRow) -> None:
        """Apply an accepted change here; peers receive it from this process."""
        self.log.event(
            _events.SETTINGS_ACCEPTED,
            path=subtree,
            revision=row.revision,
            author=row.author,
        )
        self.settings_service.apply_row(subtree, row)
        self.on_accepted()

    async def get_history(self, request: web.Request) -> web.Response:
        """Return the retained changes that affected a path."""
        path = self.path(request, self.operator(request))
        changes = [
            {
                "revision": row.revision,
                "author": row.author,
                "changed_at": row.changed_at,
                "changed": list(row.changed),
            }
            for row in await self.reader.history(path.subtree)
            if any(overlaps(changed, path.full) for changed in row.changed)
        ]
        return web.json_response(changes)

    async def get_instances(self, request: web.Request) -> web.Response:
        """Return the status of each listed instance."""
        self.operator(request)
        return web.json_response({"instances": await self.instances.statuses()})

    async def post_drain(self, request: web.Request) -> web.Response:
        """Tell an instance to stop accepting new work."""
        self.operator(request).require(ROOT_SCOPE)
        instance = request.match_info["instance"]
        authorization = request.headers["Authorization"]
        return web.json_response(await self.instances.drain(instance, authorization))

    def operator(self, request: web.Request) -> AuthenticatedOperator:
        """Return the operator who makes a request.

        Raises:
            UnauthorizedError: The request contains no valid operator token.
        """
        hashes = self.settings.operator_token_hashes
        return authenticate(request.headers, self.settings_service.view.fleet, hashes)

    def path(
        self, request: web.Request, operator: AuthenticatedOperator
    ) -> SettingsPath:
        """Return the settings path of a request.

        Raises:
            InvalidError: The path is not in a subtree.
            ScopeError: The path is outside the operator's scope.
        """
        path = parse_path(request.match_info["path"])
        operator.require(path.full)
        return path


def _summary(path: str, row: rows.SettingsRow) -> dict[str, Any]:
    return {
        "path": path,
        "revision": row.revision,
        "author": row.author,
        "changed_at": row.changed_at,
    }


def _operation_id(request: web.Request, operator: AuthenticatedOperator) -> str:
    key = request.headers.get(headers.IDEMPOTENCY_KEY) or uuid.uuid4().hex
    return f"{operator.name}:{key}"


def _expected_revision(request: web.Request, path: SettingsPath) -> int | None:
    text = request.query.get("expect_revision")
    if text is None:
        return None
    if not text.isdecimal():
        raise InvalidError(
            [Problem(path.full, "expect_revision must be a non-negative integer")]
        )
    return int(text)
