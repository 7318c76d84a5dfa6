"""What is known of requests that were inside upstreams as these crashed."""

from skylarkdoor._suspicion import Suspicion, Suspicions, crash_id

__all__ = ["Suspicion", "Suspicions", "crash_id"]
