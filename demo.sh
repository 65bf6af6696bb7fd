#!/usr/bin/env bash
# Installs what is missing, builds the release preset and runs the demonstration: both deployments
# of docs/design.md at their sizes of today, on loopback. Flags go to the demo program.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
cmake --preset release >/dev/null
cmake --build --preset release
exec build/release/bin/demo "$@"
