#!/usr/bin/env bash
# Runs the benchmark for SEEDS seeds (10) with JOBS processes at a time (4),
# writes BUILD/bench.tsv with one row per value, and prints the median and the
# worst value of each measure. PARTS and DEPLOYMENTS select what is run; the
# speed part runs last, one process at a time, because it measures elapsed time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seeds=${SEEDS:-10}
jobs=${JOBS:-4}
parts=${PARTS:-completion peak blocking reclaim limits executors speed calls}
deployments=${DEPLOYMENTS:-cedar himal}
program=$build/bench/geraniumrack-bench
out=$build/bench.tsv
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cases() {
  local part deployment seed
  for part in $parts; do
    # The executors, speed and calls parts do not depend on the deployment.
    for deployment in $deployments; do
      case $part in executors | speed | calls) [ "$deployment" = "${deployments%% *}" ] || continue ;; esac
      for seed in $(seq "$seeds"); do
        echo "$part $deployment $seed"
      done
    done
  done
}

# run JOBS PATTERN: runs the cases that match, JOBS processes at a time.
run() {
  cases | { grep -E "$2" || true; } |
    xargs -r -P "$1" -L 1 bash -c '"$1" --part "$3" --deployment "$4" \
      --seed "$5" > "$2/$3-$4-$5"' _ "$program" "$work"
}

run "$jobs" '^(completion|peak|blocking|reclaim|limits|executors) '
run 2 '^(speed|calls) '

{
  printf 'measure\tdeployment\tload\tpolicy\tseed\tvalue\tunit\n'
  find "$work" -type f | sort -V | xargs cat
} > "$out"

# Lower values are better, except for the shares of work that was reached or in
# time.
awk -F '\t' 'NR > 1 {
    key = $1 "\t" $2 "\t" $3 "\t" $4
    if (!(key in n)) order[++keys] = key
    values[key, n[key]++] = $6
    unit[key] = $7
  }
  END {
    printf "%-26s %-6s %-24s %-17s %5s %11s %11s  %s\n", "measure",
           "where", "load", "policy", "seeds", "median", "worst", "unit"
    for (k = 1; k <= keys; k++) {
      key = order[k]; count = n[key]
      for (i = 0; i < count; i++) v[i] = values[key, i] + 0
      for (i = 1; i < count; i++)
        for (j = i; j > 0 && v[j - 1] > v[j]; j--) {
          t = v[j]; v[j] = v[j - 1]; v[j - 1] = t
        }
      split (key, part, "\t")
      worst = part[1] ~ /reached|in-time/ ? v[0] : v[count - 1]
      median = count % 2 ? v[(count - 1) / 2] \
                         : (v[count / 2 - 1] + v[count / 2]) / 2
      printf "%-26s %-6s %-24s %-17s %5d %11.4g %11.4g  %s\n", part[1],
             part[2], part[3], part[4], count, median, worst, unit[key]
    }
  }' "$out"
echo "rows: $out"
