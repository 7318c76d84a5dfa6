"""Stand-in for a plain service."""

from ._app import create_app

__all__ = ["create_app"]
