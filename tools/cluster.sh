# Functions that start the stand-ins and the geraniumrack processes on loopback.
# Sourced by demo.sh and the other tools; each call of cluster_start adds one
# deployment. The caller sets "build" to the build directory. Every process
# listens on free ports.

run_dir=$(mktemp -d)
pids=()

# Stops the started processes by process id, in reverse order: geraniumrack
# before the platform, which it needs for a graceful shutdown.
cluster_stop_processes() {
  local pid i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    pid=${pids[$i]}
    kill -TERM "$pid" 2>/dev/null
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  pids=()
}

cluster_stop() {
  cluster_stop_processes
  [ -n "${KEEP_LOGS:-}" ] || rm -rf "$run_dir"
}

# start NAME COMMAND...: runs the command in the background with its output in
# files and waits for its "listening" line. Sets last_pid.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  last_pid=$!
  pids+=("$last_pid")
  for _ in $(seq 200); do
    grep -q '^listening' "$run_dir/$name.out" && return 0
    kill -0 "$last_pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$run_dir/$name.out" "$run_dir/$name.log" >&2
  return 1
}

# address NAME http|rpc: prints the address from the first "listening" line.
address() {
  sed -nE "s/^listening.*\b$2=([0-9.:]+).*/\1/p;" "$run_dir/$1.out" | head -1
}

# register NAME ROLE DATA_CENTRE ADDRESS: adds an instance to the list of
# instances at $instances_url.
register() {
  curl -sf -X PUT "$instances_url/v1/instances/$1" \
    -H 'Content-Type: application/json' \
    -d "{\"name\":\"$1\",\"role\":\"$2\",\"data_centre\":\"$3\",\"address\":\"$4\",\"leaving\":false}" \
    >/dev/null
}

unregister() {
  curl -sf -X DELETE "$instances_url/v1/instances/$1" >/dev/null
}

# process_settings FILE NAME DATA_CENTRE: copies a sample process file, sets the
# instance name, the data centre and the addresses of the stand-ins, and prints
# the path of the copy.
process_settings() {
  local file="$run_dir/$2.ini"
  sed -E -e "s/^instance = .*/instance = $2/" \
    -e "s/^data_centre = .*/data_centre = $3/" \
    -e "s#^kv_url = .*#kv_url = $kv_url#" \
    -e "s#^instances_url = .*#instances_url = $instances_url#" "$1" >"$file"
  echo "$file"
}

# start_entry NAME DATA_CENTRE and start_scheduler NAME DATA_CENTRE: start and
# register one process.
start_entry() {
  start "$1" "$build/entry/geraniumrack-entry" \
    --settings "$(process_settings "etc/$deployment/entry.ini" "$1" "$2")" &&
    register "$1" entry "$2" "$(address "$1" rpc)"
}

start_scheduler() {
  start "$1" "$build/scheduler/geraniumrack-scheduler" \
    --settings "$(process_settings "etc/$deployment/scheduler.ini" "$1" "$2")" &&
    register "$1" scheduler "$2" "$(address "$1" rpc)"
}

# put_store PATH FILE: writes a document directly to the store, for the initial
# settings of a deployment.
put_store() {
  local key value
  key=$(printf '/geraniumrack/settings/%s' "$1" | base64 -w0)
  value=$(base64 -w0 "$2")
  curl -sf "$kv_url/v3/kv/txn" -d \
    "{\"compare\":[{\"key\":\"$key\",\"target\":\"CREATE\",\"result\":\"EQUAL\",\"create_revision\":\"0\"}],\"success\":[{\"request_put\":{\"key\":\"$key\",\"value\":\"$value\"}}]}" \
    >/dev/null
}

# cluster_start DEPLOYMENT ENTRIES WORKERS_PER_DATA_CENTRE EXECUTORS CORES:
# starts the stand-ins of the platform and ENTRIES instances with one entry and
# one scheduler each, in three data centres. Sets entries (URLs), kv_url and
# instances_url, and writes the account tokens to
# $run_dir/$deployment-ACCOUNT.token.
cluster_start() {
  deployment=$1
  local count=$2 workers=$3 executors=$4 cores=$5 dc i file account token
  local standin=$build/standins/geraniumrack-standin

  start "$deployment-kv" "$standin" kv --listen 127.0.0.1:0 || return 1
  kv_url=http://$(address "$deployment-kv" http)
  start "$deployment-instances" "$standin" instances --listen 127.0.0.1:0 ||
    return 1
  instances_url=http://$(address "$deployment-instances" http)
  for i in 1 2 3; do
    dc=dc$i
    start "$deployment-workers-$dc" "$standin" worker --listen 127.0.0.1:0 \
      --instances-url "$instances_url" --name "$deployment-worker-$dc" \
      --data-centre "$dc" --rack "$dc-rack" --per-rack 8 --workers "$workers" \
      --accelerators 8 --cores "$cores" --memory-mb 250000 || return 1
  done
  start "$deployment-executors" "$standin" executor --listen 127.0.0.1:0 \
    --instances-url "$instances_url" --name "$deployment-executor" \
    --data-centre dc1 --executors "$executors" --slots 8 || return 1

  file=$run_dir/$deployment-platform.ini
  sed -E "s/^entry_instances = .*/entry_instances = $count/" \
    "etc/$deployment/platform.ini" >"$file"
  put_store platform "$file" || return 1
  accounts=()
  for file in "etc/$deployment"/teams/*.ini; do
    account=$(basename "$file" .ini)
    accounts+=("$account")
    token=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
    printf '%s' "$token" >"$run_dir/$deployment-$account.token"
    sed "s/^\[account\]/[account]\ntoken_sha256 = $(printf '%s' "$token" |
      sha256sum | cut -d' ' -f1)/" "$file" >"$run_dir/$deployment-$account.ini"
    put_store "teams/$account" "$run_dir/$deployment-$account.ini" || return 1
  done
  entries=()
  for i in $(seq "$count"); do
    dc=dc$(((i - 1) % 3 + 1))
    start_entry "$deployment-entry-$i" "$dc" || return 1
    entries+=("http://$(address "$deployment-entry-$i" http)")
    start_scheduler "$deployment-scheduler-$i" "$dc" || return 1
  done
}

# wait_ready URL SECONDS: waits until readyz returns 200.
wait_ready() {
  for _ in $(seq $(($2 * 5))); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "$1/readyz")" = 200 ] && return 0
    sleep 0.2
  done
  echo "$1 did not become ready: $(curl -s "$1/readyz")" >&2
  return 1
}

# wait_owned SECONDS: waits until every shard has an owner.
wait_owned() {
  for _ in $(seq $(($1 * 5))); do
    [ "$(curl -s "${entries[0]}/v1/shards" | grep -o '"epoch":[1-9][0-9]*' |
      wc -l)" -ge 3 ] && return 0
    sleep 0.2
  done
  echo "not every shard has an owner: $(curl -s "${entries[0]}/v1/shards")" >&2
  return 1
}
