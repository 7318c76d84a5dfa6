"""Callers' connections with what was written to them."""

from skylarkdoord.ingress import CallerConnection

# Longest time for which a caller may leave a refusal unread, in seconds.
REFUSAL_TIMEOUT_S = 30.0


class BoundedRequestHandler(CallerConnection):
    """A caller's connection.

    Attributes:
        written_bytes: Bytes of answers written to it so far.
        timeout_s: Timeout of the latest admitted request's route, in seconds.
        is_streaming: Whether an answer is being written that may still grow.
        is_writing_whole: Whether an answer that is no stream is being written.
        unsent_limit: Unsent bytes from which on writing waits; None for the default.
    """

    written_bytes = 0
    timeout_s = REFUSAL_TIMEOUT_S
    is_streaming = False
    is_writing_whole = False
    unsent_limit: int | None = None


def on_written(connection: object, size: int) -> None:
    """Count bytes of an answer that were written to a caller's connection."""
    if isinstance(connection, BoundedRequestHandler):
        connection.written_bytes += size
        connection.is_streaming = True


def set_writing_whole(connection: object, *, is_writing: bool) -> None:
    """Record whether an answer that is no stream is being written."""
    if isinstance(connection, BoundedRequestHandler):
        connection.is_writing_whole = is_writing


def on_answer_complete(connection: object) -> None:
    """Let the end of an answer wait until the caller has read nearly all of it."""
    if not isinstance(connection, BoundedRequestHandler):
        return
    connection.is_streaming = False
    transport = connection.transport
    if connection.unsent_limit is not None and transport is not None:
        connection.unsent_limit = None
        transport.set_write_buffer_limits()
