#!/usr/bin/env bash
# Random faults against the decision core: soak.sh BUILD SEEDS SECONDS. A
# failure prints the command that repeats it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
exec "$build/tests/test-sched-random" --seeds "${2:-10}" --seconds "${3:-20}"
