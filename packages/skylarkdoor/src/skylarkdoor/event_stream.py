"""Server-sent events in a stream of bytes."""

from skylarkdoor._event_stream import EventSplitter, event_id, is_event

__all__ = ["EventSplitter", "event_id", "is_event"]
