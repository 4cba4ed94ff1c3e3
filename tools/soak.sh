#!/usr/bin/env bash
# Tests the decision core with random faults: soak.sh BUILD SEEDS SECONDS. On
# failure, prints the command that reproduces it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
exec "$build/tests/test-sched-random" --seeds "${2:-10}" --seconds "${3:-20}"
