#!/usr/bin/env bash
# Checks with spin every model in this directory and every mutant that is listed
# in the head comment of a model, four at a time. Fails if a model has an error
# or a mutant has none.
set -euo pipefail
cd "$(dirname "$0")"

# verify MODEL MUTANT: checks one mutant, or the model itself if MUTANT is "-".
# Prints a line with the result and fails if it is not the expected one.
verify() {
  local model=$1 mutant=$2 source="$PWD/$1.pml" dir states errors verdict
  dir=$(mktemp -d)
  cd "$dir"
  spin $([ "$mutant" = - ] || echo "-D$mutant") -a "$source" >spin.log
  gcc -O2 -DSAFETY -DMEMLIM=3000 -w -o pan pan.c
  ./pan -m200000 -w24 -E >pan.log
  read -r states errors < <(awk '/states, stored/ { states = $1 }
    /errors:/ { errors = $NF } END { print states, errors }' pan.log)
  verdict=MISSED
  # A search that stopped early must not count as a pass.
  if grep -q -e 'max search depth too small' -e 'reached -DMEMLIM' \
    -e 'out of memory' pan.log; then
    verdict=INCOMPLETE
  elif [ "$mutant" = - ] && [ "$errors" = 0 ]; then
    verdict=holds
  elif [ "$mutant" != - ] && [ "$errors" != 0 ]; then
    verdict=caught
  fi
  printf '%-13s %-25s states %-9s errors %s  %s\n' \
    "$model" "$mutant" "$states" "$errors" "$verdict"
  cd / && rm -rf "$dir"
  [ "$verdict" = holds ] || [ "$verdict" = caught ]
}

if [ $# -eq 2 ]; then
  verify "$1" "$2"
  exit
fi

checks=()
for model in ownership former-owner process-calls marks settings gang; do
  mutants=$(sed -nE '1,/\*\//s/^ \*   ([A-Z_]+) .*/\1/p' "$model.pml")
  [ -n "$mutants" ] || { echo "$model.pml names no mutants" >&2; exit 1; }
  for mutant in - $mutants; do
    checks+=("$model" "$mutant")
  done
done
printf '%s\n' "${checks[@]}" | xargs -P 4 -n 2 ./run-models.sh
