#!/usr/bin/env bash
# Installs the pinned libraries into target/deps and copies the packages beside them.
# The libraries are reinstalled only when constraints.txt, deploy/requirements.txt, the
# kind of machine or the version of Python has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.libraries
kind() {
    python3 -c 'import platform, sysconfig; print(sysconfig.get_platform(), platform.python_version())'
    cat constraints.txt deploy/requirements.txt
}
if ! cmp -s <(kind) "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    kind > "$stamp"
fi
for source in packages/skylarkdoor/src/skylarkdoor \
    packages/skylarkdoord/src/skylarkdoord \
    platform/src/skylarkdoor_platform; do
    rm -rf "$deps/$(basename "$source")"
    cp -r "$source" "$deps/"
done
