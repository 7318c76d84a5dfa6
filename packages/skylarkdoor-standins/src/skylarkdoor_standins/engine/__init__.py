"""Stand-in for a model engine that batches continuously."""

from ._app import create_app
from ._settings import EngineSettings, Fencing

__all__ = ["EngineSettings", "Fencing", "create_app"]
