#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are Python files
# that need the standard library only, so this compiles them, to find errors early.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
CHECK
done
