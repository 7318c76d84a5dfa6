"""The row of a server is removed while channels to the store are silent (DRAIN)."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet  # noqa: E402
import leaving  # noqa: E402


async def leave(store, server):
    """Remove the row without `draining`; the server goes on serving."""
    await store.put("servers", server.name, None)


async def case(record, folder, is_troubled):
    """Return the requests that reached the removed server too late."""
    return await leaving.run(
        record, folder, is_troubled, leave=leave, state="is gone", arrivals=0
    )


if __name__ == "__main__":
    sys.exit(fleet.run_case(FOLDER, case))
