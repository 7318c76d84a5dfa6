"""Reads what callers send: identity, pool, sizes and deadline."""

import json
import time
import uuid
from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from aiohttp import web

from skylarkdoor import hashing, tracing
from skylarkdoor.settings import Fleet, Pool, Resolved, SettingsView
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._request import EntryRequest

DEADLINE_HEADER = "X-Request-Timeout"
DEFAULT_MAX_TOKENS = 256
MAX_KEY_LENGTH = 255


class BadRequestError(Exception):
    """A caller's request can't be taken as it is."""

    def __init__(self, status: int, code: str, message: str) -> None:
        self.status = status
        self.code = code
        self.message = message
        super().__init__(message)


class Target(NamedTuple):
    """Where a request goes.

    Attributes:
        pool_name: Name of the pool.
        pool: Its settings.
        path: Path and query for the upstream.
        idempotent: Whether the call may be repeated.
    """

    pool_name: str
    pool: Pool
    path: str
    idempotent: bool


class Prompt(NamedTuple):
    """What matters of a model request.

    Attributes:
        model: The model asked for.
        streamed: Whether events are wanted.
        words: The prompt's words.
        max_tokens: Most tokens to generate.
    """

    model: str
    streamed: bool
    words: list[str]
    max_tokens: int


def authenticate(sent: Mapping[str, str], view: SettingsView) -> Resolved:
    """Return the customer whose API key the headers bear.

    Raises:
        BadRequestError: There is no key or it is not known.
    """
    scheme, _, key = sent.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise BadRequestError(401, "key_missing", "expected an API key as bearer token")
    resolved = view.resolve(hashing.key_hash(key.strip()))
    if resolved is None:
        raise BadRequestError(401, "key_unknown", "the API key is not known")
    return resolved


def parse_prompt(body: bytes) -> Prompt:
    """Return what matters of a body in the OpenAI form.

    Raises:
        BadRequestError: The body is not of that form.
    """
    try:
        document = json.loads(body)
    except ValueError:
        raise BadRequestError(400, "body_malformed", "expected a JSON body") from None
    if not isinstance(document, dict):
        raise BadRequestError(400, "body_malformed", "expected a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError(400, "model_missing", "expected a model name")
    limit = document.get("max_tokens", document.get("max_completion_tokens"))
    limit = DEFAULT_MAX_TOKENS if limit is None else limit
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        raise BadRequestError(400, "max_tokens_invalid", "expected max_tokens above 0")
    words = _text(document).split()
    return Prompt(model, bool(document.get("stream", False)), words, limit)


def _text(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(400, "prompt_missing", "expected messages or a prompt")
    parts = []
    for message in messages:
        if not isinstance(message, dict):
            raise BadRequestError(400, "messages_invalid", "expected message objects")
        parts.append(_content(message.get("content")))
    return " ".join(parts)


def _content(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        texts = [part.get("text", "") for part in content if isinstance(part, dict)]
        return " ".join(text for text in texts if isinstance(text, str))
    return ""


def model_target(fleet: Fleet, resolved: Resolved, model: str, path: str) -> Target:
    """Return the customer's pool that carries the model.

    Raises:
        BadRequestError: None does.
    """
    for name in resolved.customer.pools:
        pool = fleet.pools.get(name)
        if pool is not None and pool.kind == "model" and model in pool.models:
            return Target(name, pool, path, True)
    raise BadRequestError(404, "model_unknown", f"no model {model!r} for this customer")


def service_target(
    fleet: Fleet, resolved: Resolved, pool_name: str, path: str, method: str
) -> Target:
    """Return the plain service's pool; unknown calls are not idempotent.

    Raises:
        BadRequestError: The customer has no such pool.
    """
    pool = fleet.pools.get(pool_name)
    allowed = pool_name in resolved.customer.pools
    if pool is None or pool.kind != "service" or not allowed:
        raise BadRequestError(404, "pool_unknown", f"no service pool {pool_name!r}")
    bare = path.partition("?")[0]
    for route in pool.routes:
        if method in route.methods and fnmatchcase(bare, route.path):
            return Target(pool_name, pool, path, route.idempotent)
    return Target(pool_name, pool, path, False)


def deadline_s(sent: Mapping[str, str], default_s: float) -> float:
    """Return the time that a caller gives its request, in seconds.

    Raises:
        BadRequestError: The header is not a positive number.
    """
    text = sent.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise BadRequestError(
            400, "timeout_invalid", f"expected seconds above 0 in {DEADLINE_HEADER}"
        )
    return seconds


def idempotency_key(sent: Mapping[str, str], target: Target) -> str:
    """Return the caller's key.

    Raises:
        BadRequestError: It is too long, or absent on a call that may not be
            repeated.
    """
    key = sent.get(headers.IDEMPOTENCY_KEY, "").strip()
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequestError(400, "key_too_long", "expected a shorter Idempotency-Key")
    if not key and not target.idempotent:
        raise BadRequestError(
            400,
            "idempotency_key_missing",
            "expected an Idempotency-Key on a call that may not be repeated",
        )
    return key


def build_request(
    raw: web.Request,
    resolved: Resolved,
    target: Target,
    body: bytes,
    prompt: Prompt | None = None,
) -> EntryRequest:
    """Return the request as the entry handles it.

    Raises:
        BadRequestError: A header is wrong.
    """
    request = EntryRequest(
        request_id=uuid.uuid4().hex,
        resolved=resolved,
        pool_name=target.pool_name,
        pool=target.pool,
        method=raw.method,
        path=target.path,
        headers=headers.to_upstream(raw.headers),
        body=body,
        idempotent=target.idempotent,
        idempotency_key=idempotency_key(raw.headers, target),
        fingerprint=_fingerprint(resolved, raw.method, target, body),
        context=tracing.extract(raw.headers),
    )
    allowed_s = deadline_s(raw.headers, resolved.tier.deadline_s)
    request.deadline_at = time.monotonic() + allowed_s
    if prompt is not None:
        request.model = prompt.model
        request.streamed = prompt.streamed
        request.prompt_tokens = len(prompt.words)
        request.max_tokens = prompt.max_tokens
        request.prefix_hashes = hashing.prefix_hashes(prompt.words)
    return request


def _fingerprint(resolved: Resolved, method: str, target: Target, body: bytes) -> int:
    customer = f"{resolved.team}/{resolved.customer_name}"
    call = f"{method} {target.pool_name} {target.path}\0".encode()
    return hashing.fingerprint(customer, call + body)
