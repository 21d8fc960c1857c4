#!/usr/bin/env bash
# Checks format and lint of all sources: tools/lint.sh [FILE-PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
git ls-files -z '*.cc' '*.h' | xargs -0 clang-format --dry-run --Werror
# Only platform/ knows the names of the users' wire.
if grep -rnE '"(untilMs|lastSeen|fencingToken|maxPerServer|dependsOn|decideMs|estimateMs|memMb)"|/run-start|/run-stop|/log-append|/log-read|/machine-move' \
  --include='*.cc' --include='*.h' packages testing bench; then
  echo "names of the users' wire outside platform/" >&2
  exit 1
fi
cmake --preset release >/dev/null
findings=build/release/lint.txt
if ! python3 tools/tidy.py build/release \
  "${1:-/(packages|testing|bench|platform)/}" "${BUILD_JOBS:-4}" \
  >"$findings" 2>&1; then
  grep -E 'warning:|error:' "$findings" | sort -u
  exit 1
fi
