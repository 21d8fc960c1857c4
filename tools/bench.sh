#!/usr/bin/env bash
# Builds and runs one measurement: tools/bench.sh NAME [ARGUMENT...]
# Without a name it lists the measurements.
set -euo pipefail
cd "$(dirname "$0")/.."

lists=(bench/CMakeLists.txt bench/*/CMakeLists.txt)

if [ "$#" -eq 0 ]; then
  echo "usage: tools/bench.sh NAME [ARGUMENT...]"
  echo "measurements:"
  grep -ohE '\bbench_[a-z0-9_]+' "${lists[@]}" | sort -u | sed 's/^bench_/  /'
  exit 0
fi

name="$1"
shift
if ! grep -qE "\bbench_$name\b" "${lists[@]}"; then
  echo "measurement \"$name\" does not exist under bench" >&2
  exit 2
fi
tools/build.sh release >&2
exec "build/release/bin/bench_$name" "$@"
