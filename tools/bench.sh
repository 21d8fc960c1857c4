#!/usr/bin/env bash
# Builds and runs one measurement: tools/bench.sh NAME [ARGUMENT...]
# Without a name it lists the measurements.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -eq 0 ]; then
  echo "usage: tools/bench.sh NAME [ARGUMENT...]"
  echo "measurements:"
  grep -oE 'bench_[a-z0-9_]+' bench/CMakeLists.txt | sort -u |
    sed 's/^bench_/  /'
  exit 0
fi

name="$1"
shift
if ! grep -qE "\bbench_$name\b" bench/CMakeLists.txt; then
  echo "measurement \"$name\" does not exist in bench/CMakeLists.txt" >&2
  exit 2
fi
tools/build.sh release >&2
exec "build/release/bin/bench_$name" "$@"
