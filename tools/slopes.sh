#!/usr/bin/env bash
# Measures the load that each additional worker, running task and second adds to
# the schedulers, the entries and the key-value service. Prints the results for
# each cluster size. Arguments: BUILD, seconds of each measurement. The results
# are for docs/CAPACITY.md.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seconds=${2:-15}
. tools/cluster.sh
trap cluster_stop EXIT

cpu_ticks() {
  awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"
}

# totals PATTERN: prints the sum of processor ticks and of resident KB of the
# processes whose command line matches.
totals() {
  local ticks=0 rss=0 pid
  for pid in "${pids[@]}"; do
    grep -qz "$1" "/proc/$pid/cmdline" || continue
    ticks=$((ticks + $(cpu_ticks "$pid")))
    rss=$((rss + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")))
  done
  echo "$ticks $rss"
}

calls() {
  curl -s "$1/control" | grep -o '"calls":{[^}]*}' |
    grep -oE '"[^"]+":[0-9]+' | tr -d '"'
}

measure() {
  local workers=$1 per_worker=$2 w address ticks_s ticks_e rss token
  cluster_start cedar 3 "$workers" 1 130 || exit 1
  for entry in "${entries[@]}"; do wait_ready "$entry" 30 || exit 1; done
  wait_owned 30 || exit 1
  sed -i 's/^quota_accelerators = .*/quota_accelerators = 0/' \
    "$run_dir/cedar-overnight.ini"
  "$build/ctl/geraniumrackctl" --entry "${entries[0]}" settings set \
    teams/overnight "$run_dir/cedar-overnight.ini" >/dev/null || exit 1
  token=$(cat "$run_dir/cedar-overnight.token")
  for dc in dc1 dc2 dc3; do
    for ((w = 0; w < workers * per_worker; w++)); do
      echo "{\"account\":\"overnight\",\"key\":\"s-$w\",\"workers\":1,\"accelerators_per_worker\":1,\"run_ms\":3600000,\"idempotent\":true,\"checkpointable\":true,\"data_centre\":\"$dc\",\"spec\":\"run_ms=3600000\"}"
    done
  done | xargs -r -d '\n' -P 8 -I{} curl -s -o /dev/null \
    -H "Authorization: Bearer $token" -d '{}' "${entries[0]}/v1/jobs"
  sleep 8
  read -r sched_ticks _ < <(totals geraniumrack-scheduler)
  read -r entry_ticks _ < <(totals geraniumrack-entry)
  address=$(sed -nE 's/^listening http=([0-9.:]+).*/\1/p' \
    "$run_dir/cedar-workers-dc1.out" | head -1)
  calls "$address" >"$run_dir/worker-before"
  calls "${kv_url#http://}" >"$run_dir/kv-before"
  sleep "$seconds"
  read -r ticks_s rss < <(totals geraniumrack-scheduler)
  read -r ticks_e entry_rss < <(totals geraniumrack-entry)
  printf 'workers %4d tasks %5d: schedulers %6.2f %% of a core, %6d KB; entries %5.2f %%, %6d KB (3 processes each)\n' \
    $((workers * 3)) $((workers * 3 * per_worker)) \
    "$(awk "BEGIN { print ($ticks_s - $sched_ticks) / $seconds }")" "$rss" \
    "$(awk "BEGIN { print ($ticks_e - $entry_ticks) / $seconds }")" "$entry_rss"
  echo "  running: $(curl -s "${entries[0]}/v1/shards" | grep -o '"jobs_running":[0-9]*' | tr '\n' ' ')"
  echo "  calls per second to one worker:" \
    "$(join -t: <(sort "$run_dir/worker-before") <(calls "$address" | sort) |
      awk -F: -v s="$seconds" '{ printf "%s %.2f  ", $1, ($3 - $2) / s }')"
  echo "  calls per second to the key-value service:" \
    "$(join -t: <(sort "$run_dir/kv-before") <(calls "${kv_url#http://}" | sort) |
      awk -F: -v s="$seconds" '{ printf "%s %.2f  ", $1, ($3 - $2) / s }')"
  echo "  size of one worker report in bytes: $(curl -s -i "$address/v1/report" | wc -c)"
  cluster_stop_processes
}

measure 4 0
measure 32 0
measure 32 2
measure 32 6
