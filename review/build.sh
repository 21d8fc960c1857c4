#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are written in Python's
# standard library, so nothing is compiled: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/lib"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; assert sys.version_info >= (3, 11); import standins, cell'
