#!/usr/bin/env bash
# Soaks with random faults: soak.sh BUILD SEEDS SECONDS [PARALLEL]. First the
# core of our own protocol, then instances as processes on the platform's
# contract, each seed for the given time with faults and up to a minute to
# settle. GR_SOAK_MIX=zones|processes|lists|restarts|all: see the test. Prints the seeds that
# failed, and the command that repeats one.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seeds=${2:-10}
seconds=${3:-20}
parallel=${4:-4} # about 30 processes each
first=${FIRST_SEED:-1}

"$build/tests/test-sched-random" --seeds "$seeds" --seconds "$seconds" || exit 1

run_seed() {
  local log
  log=$(mktemp)
  if GR_SOAK_SEED=$1 GR_SOAK_PORT=$((10000 + $1 % 20 * 1000)) \
    "$GR_BUILD_DIR/tests/test-soak-platform" >"$log" 2>&1; then
    grep '^seed' "$log"
  else
    grep -v "^Running\|^0%" "$log"
    echo "FAILED: GR_BUILD_DIR=$GR_BUILD_DIR GR_SOAK_S=$GR_SOAK_S GR_SOAK_MIX=${GR_SOAK_MIX:-all} GR_SOAK_SEED=$1 $GR_BUILD_DIR/tests/test-soak-platform"
    exit 1
  fi
}
export -f run_seed
export GR_BUILD_DIR=$build GR_SOAK_S=$seconds
seq "$first" $((first + seeds - 1)) | xargs -P "$parallel" -I{} bash -c 'run_seed {}'
