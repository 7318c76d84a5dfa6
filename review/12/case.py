"""A server drains while the open channels to the store are silent (DRAIN)."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet  # noqa: E402
import leaving  # noqa: E402


async def leave(store, server):
    """Report `draining`; the server goes on serving."""
    await server.register("draining")


async def case(record, folder, is_troubled):
    """Return the requests that reached the drained server too late."""
    return await leaving.run(
        record, folder, is_troubled, leave=leave, state="is draining", arrivals=2
    )


if __name__ == "__main__":
    sys.exit(fleet.run_case(FOLDER, case))
