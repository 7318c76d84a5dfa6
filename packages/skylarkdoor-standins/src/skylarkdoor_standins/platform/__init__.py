"""Stand-in for the platform: table, objects, instance list and weights."""

from skylarkdoor_standins.platform._app import create_app

__all__ = ["create_app"]
