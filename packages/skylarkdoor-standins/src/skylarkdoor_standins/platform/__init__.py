"""Stand-in for the platform: table, objects, instance list and weights."""

from ._app import create_app

__all__ = ["create_app"]
