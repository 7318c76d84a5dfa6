#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules in review/lib, which use only the
# libraries that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib:target/deps python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
import deploy, platform_store, requesters, scene, servers  # noqa: E401, F401
PY
