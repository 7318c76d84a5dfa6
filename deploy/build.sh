#!/usr/bin/env bash
# Installs the pinned libraries into target/deps and copies the packages beside them.
# The libraries are reinstalled only when constraints.txt or deploy/requirements.txt
# has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.libraries
if ! cmp -s <(cat constraints.txt deploy/requirements.txt) "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    cat constraints.txt deploy/requirements.txt > "$stamp"
fi
for source in packages/skylarkdoor/src/skylarkdoor \
    packages/skylarkdoord/src/skylarkdoord \
    platform/src/skylarkdoor_platform; do
    rm -rf "$deps/$(basename "$source")"
    cp -r "$source" "$deps/"
done
