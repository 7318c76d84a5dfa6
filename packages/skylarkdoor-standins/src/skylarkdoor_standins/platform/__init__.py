"""Stand-in for the platform: table, object store, instance list, weight store."""

from skylarkdoor_standins.platform._app import create_app

__all__ = ["create_app"]
