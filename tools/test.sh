#!/usr/bin/env bash
# Builds and runs all tests: tools/test.sh [PRESET]
# The last line is "N passed, N failed", counting test cases. Fails if a test
# fails that KNOWN-RED.txt does not list.
set -euo pipefail
cd "$(dirname "$0")/.."

preset="${1:-release}"
tools/build.sh "$preset"
results="build/$preset/test-results"
rm -rf "$results"
mkdir -p "$results"

for program in "build/$preset/bin/"*_test; do
  name="$(basename "$program")"
  echo "running $name"
  status=0
  timeout 900 "$program" --reporters=junit --out="$results/$name.xml" \
    >"$results/$name.log" 2>&1 || status=$?
  echo "$status" >"$results/$name.status"
done

exec python3 tools/summarize_tests.py "$results" KNOWN-RED.txt
