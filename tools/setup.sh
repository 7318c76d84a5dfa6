#!/usr/bin/env bash
# Creates the virtual environment. Arguments: Python's command, the directory of the
# environment and the project's own packages.
set -euo pipefail

python=$1
venv=$2
shift 2

fail() {
    echo "set-up failed: $1" >&2
    exit 1
}

explain() {
    if ! grep -q 'Failed building' "$1"; then
        grep '^ERROR' "$1" | tail -n 1
    elif ! command -v cc > /dev/null; then
        echo "no C compiler (cc), which libraries without a wheel for this machine need"
    elif [ ! -e "$("$python" -c 'import sysconfig; print(sysconfig.get_path("include"))')/Python.h" ]; then
        echo "no headers of Python (Python.h), which libraries without a wheel for this machine need"
    else
        grep '^ERROR' "$1" | tail -n 1
    fi
}

install() {
    local log="$venv/setup.log"
    "$venv/bin/pip" install --quiet "$@" > "$log" 2>&1 || fail "$(explain "$log") (details in $log)"
}

command -v "$python" > /dev/null || fail "no command $python; Python 3.11 or newer is needed"
"$python" -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    fail "$python is not Python 3.11 or newer but $("$python" --version 2>&1)"

# An environment of another kind of machine or Python can't be reused.
"$python" -m venv --clear "$venv" || fail "$python has no module venv or ensurepip"

# Libraries are built in isolation, where their own build requirements are installed.
install --requirement constraints.txt

own=()
for package in "$@"; do
    own+=(--editable "$package")
done
install --no-deps --no-build-isolation "${own[@]}"
"$venv/bin/pip" check || fail "constraints.txt lacks a library, see above"
