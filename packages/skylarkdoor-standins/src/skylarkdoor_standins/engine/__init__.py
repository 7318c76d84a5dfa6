"""Stand-in for a model engine with continuous batching."""

from skylarkdoor_standins.engine._app import create_app
from skylarkdoor_standins.engine._settings import EngineSettings, Fencing

__all__ = ["EngineSettings", "Fencing", "create_app"]
