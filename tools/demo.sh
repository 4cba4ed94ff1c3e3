#!/usr/bin/env bash
# Starts the stand-ins of the platform and the geraniumrack processes on loopback
# for both sample deployments, sends requests and jobs of all their accounts
# through different entry instances, and prints the results. Exits 0 if no
# request or job was lost.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
. tools/cluster.sh
trap cluster_stop EXIT

answered=0
finished=0
lost=0
requests_per_account=20
retries=0

say() { printf '%s\n' "$*"; }

ctl() {
  "$build/ctl/geraniumrackctl" --entry "$entry" "$@"
}

# send ACCOUNT KEY IDEMPOTENT: sends one short request through the current entry.
# A request with the run state not-run is sent again with the same key after its
# retry_after_ms, at most 10 times in all.
send() {
  local body="run_ms=15 proof $2 of $1" got wait_ms try
  for try in $(seq 10); do
    got=$(curl -s "$entry/v1/requests" -d "$body" \
      -H "Authorization: Bearer $(cat "$run_dir/$deployment-$1.token")" \
      -H "Geraniumrack-Account: $1" -H "Idempotency-Key: $2" \
      -H "Geraniumrack-Idempotent: $3")
    if [ "$got" = "$body" ]; then
      answered=$((answered + 1))
      return
    fi
    grep -q '"run_state":"not-run"' <<<"$got" || break
    retries=$((retries + 1))
    wait_ms=$(sed -E 's/.*"retry_after_ms":([0-9]+).*/\1/' <<<"$got")
    sleep "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))"
  done
  lost=$((lost + 1))
  say "  no complete response to request $2 of $1 after $try attempts: $got"
}

next_entry() {
  entry_index=$(((entry_index + 1) % ${#entries[@]}))
  entry=${entries[$entry_index]}
}

demo_requests() {
  local account i
  for account in "${accounts[@]}"; do
    for i in $(seq "$requests_per_account"); do
      next_entry
      send "$account" "$account-$i" "$([ $((i % 4)) = 0 ] && echo false || echo true)"
    done
    say "  $account: $requests_per_account requests sent through all entries, every fourth non-idempotent; $retries responses asked for a retry"
    retries=0
  done
}

demo_repeat() {
  local status
  next_entry
  status=$(curl -s -o /dev/null -w '%{http_code}' "$entry/v1/requests" -d x \
    -H "Authorization: Bearer $(cat "$run_dir/$deployment-${accounts[0]}.token")" \
    -H "Geraniumrack-Account: ${accounts[0]}" \
    -H "Idempotency-Key: ${accounts[0]}-4" -H "Geraniumrack-Idempotent: false")
  say "  the same non-idempotent request again, through another entry: HTTP $status, expected 409 because it must not run twice"
  [ "$status" = 409 ] || lost=$((lost + 1))
}

demo_settings() {
  local account=${accounts[0]} other_entry=${entries[-1]} n=0
  say "- the operator sets a new guaranteed shape and a new rate for $account through one entry"
  entry=${entries[0]}
  ctl accounts set "$account" rate_per_s=333 guarantee.demo.workers=2 \
    guarantee.demo.accelerators_per_worker=8 guarantee.demo.data_centre=dc3 \
    guarantee.demo.count=1 || lost=$((lost + 1))
  entry=$other_entry
  until curl -s "$other_entry/v1/accounts/$account" | grep -q '"rate_per_s":333'; do
    n=$((n + 1))
    [ $n -gt 50 ] && { say "  not in force within 5 s"; lost=$((lost + 1)); break; }
    sleep 0.1
  done
  say "  in force at another entry: $(curl -s "$other_entry/v1/accounts/$account" |
    grep -o '"rate_per_s":[0-9.]*')"
}

demo_jobs() {
  local account id state
  ids=()
  for account in "${accounts[@]}"; do
    next_entry
    id=$(ctl --token-file "$run_dir/$deployment-$account.token" \
      jobs submit account="$account" key=gang-1 workers=2 \
      accelerators_per_worker=8 run_ms=1500 idempotent=true \
      spec="run_ms=1500")
    say "  $account: gang of 2 workers x 8 accelerators accepted as $id"
    ids+=("$account/$id")
  done
  for id in "${ids[@]}"; do
    next_entry
    state=$(ctl --token-file "$run_dir/$deployment-${id%%/*}.token" \
      --timeout 60 jobs wait "${id#*/}" 2>&1 | tail -1)
    if curl -s "$entry/v1/jobs/${id#*/}" \
      -H "Authorization: Bearer $(cat "$run_dir/$deployment-${id%%/*}.token")" |
      grep -q '"state":"finished"'; then
      finished=$((finished + 1))
      say "  ${id#*/}: finished, read back through another entry"
    else
      lost=$((lost + 1))
      say "  ${id#*/}: $state"
    fi
  done
}

demo() {
  say "== $1: 3 instances in 3 data centres, $2 workers in each, $3 executors"
  cluster_start "$1" 3 "$2" "$3" "$4" || exit 1
  for entry in "${entries[@]}"; do
    wait_ready "$entry" 30 || exit 1
  done
  wait_owned 30 || exit 1
  entry_index=0
  say "- all entries are ready, every shard has an owner"
  demo_settings
  say "- short requests to executor slots"
  demo_requests
  demo_repeat
  say "- gang jobs on adjacent accelerators"
  demo_jobs
  cluster_stop_processes
}

demo cedar 8 6 130
demo himal 8 6 60
say "$answered requests answered, $finished jobs finished, $lost lost"
[ "$lost" = 0 ]
