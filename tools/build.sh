#!/usr/bin/env bash
# Builds the workspace with a preset of CMakePresets.json (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."

preset="${1:-release}"
tools/install.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "${BUILD_JOBS:-4}"
