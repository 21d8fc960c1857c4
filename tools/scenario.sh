#!/usr/bin/env bash
# Builds and runs one scenario file from any folder:
# tools/scenario.sh FILE.lua [--seed N] [--keep]
set -euo pipefail

if [ "$#" -eq 0 ]; then
  echo "usage: tools/scenario.sh FILE.lua [--seed N] [--keep]" >&2
  exit 2
fi
file="$(realpath -- "$1")"
shift
cd "$(dirname "$0")/.."
tools/build.sh release >&2
exec build/release/bin/scenario "$file" "$@"
