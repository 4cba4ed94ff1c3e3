#!/usr/bin/env bash
# Measures latency and throughput of the request path and the processor time and
# memory of the processes, all on loopback and for a limited time. Arguments:
# BUILD, requests per second, seconds, number of entries used, further options of
# the load generator.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
rate=${2:-1000}
seconds=${3:-10}
entries_used=${4:-1}
extra=(${5:-})
. tools/cluster.sh
trap cluster_stop EXIT

# Prints the processor time that a process has used, in clock ticks of 10 ms.
cpu_ticks() {
  awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"
}

cluster_start cedar 3 8 50 130 || exit 1
for entry in "${entries[@]}"; do
  wait_ready "$entry" 30 || exit 1
done
wait_owned 30 || exit 1
sed -i 's/^rate_per_s = .*/rate_per_s = 100000/' "$run_dir/cedar-clinics.ini"
"$build/ctl/geraniumrackctl" --entry "${entries[0]}" settings set \
  teams/clinics "$run_dir/cedar-clinics.ini" || exit 1
sleep 3
declare -A before
for pid in "${pids[@]}"; do before[$pid]=$(cpu_ticks "$pid"); done
args=()
for ((i = 0; i < entries_used; i++)); do
  args+=(--entry "${entries[$i]#http://}")
done
"$build/standins/geraniumrack-standin" load "${args[@]}" --account clinics \
  --token-file "$run_dir/cedar-clinics.token" --seed "$$" \
  --seconds "$seconds" --requests-per-s "$rate" --jobs-per-s 0 \
  --run-ms 5 --long-percent 0 --once-percent 0 --repeat-percent 0 "${extra[@]}"
echo "exit status of the load generator: $?"
for pid in "${pids[@]}"; do
  printf '%-24s cpu %6.2f %% of a core, resident %5d KB\n' \
    "$(tr '\0' ' ' <"/proc/$pid/cmdline" | sed -E 's#.*/(geraniumrack-[a-z]+) (.*)#\1 \2#; s/--(settings|listen) //; s#/.*/##; s/--.*//' | cut -c1-60)" \
    "$(awk -v a="${before[$pid]}" -v b="$(cpu_ticks "$pid")" -v s="$seconds" \
      'BEGIN { print (b - a) / s }')" \
    "$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")"
done
