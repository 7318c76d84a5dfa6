"""Middleware of aiohttp's client that sends each request at most once."""

from skylarkdoor._single_send import send_once

__all__ = ["send_once"]
