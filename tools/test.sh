#!/usr/bin/env bash
# Builds and runs all tests, then each scenario with the seeds that its file
# names, then cells of real processes with fixed seeds: tools/test.sh [PRESET]
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

for file in testing/scenarios/files/*.lua; do
  for seed in $(sed -n 's/^-- Seeds: //p' "$file"); do
    name="$(basename "$file") --seed $seed"
    echo "running $name"
    status=0
    timeout 300 "build/$preset/bin/scenario" "$file" --seed "$seed" \
      >"$results/$name.log" 2>&1 || status=$?
    echo "$status" >"$results/$name.scenario"
  done
done

# Each stands for a fault that once let refused jobs run; see the script.
for case in closed_after_append error_status_after_append \
  closed_after_append_two_vms_refused; do
  name="refused.py $case --short --seed 1"
  echo "running $name"
  status=0
  timeout 120 python3 "testing/processes/refused.py" "$case" --short --seed 1 \
    --program "build/$preset/bin/azurespurd" \
    >"$results/$name.log" 2>&1 || status=$?
  echo "$status" >"$results/$name.processes"
done

exec python3 tools/summarize_tests.py "$results" KNOWN-RED.txt
