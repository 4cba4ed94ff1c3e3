#!/usr/bin/env bash
# Removes one rule at a time from a temporary copy of the tree and runs the test
# that covers it. Fails unless every test fails without its rule. docs/proof.md
# refers to the list of mutants below: point, rule, file, sed command, test.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git clone -q . "$scratch/tree" || exit 1
cd "$scratch/tree"
meson setup build >/dev/null && ninja -C build --quiet >/dev/null || exit 1
export GR_BUILD_DIR=$PWD/build GR_SOURCE_DIR=$PWD
missed=0

mutant() {
  local point=$1 rule=$2 file=$3 edit=$4 test=$5 verdict
  sed -i "$edit" "$file"
  if git diff --quiet; then
    verdict="RULE NOT FOUND"
  elif ! ninja -C build --quiet >build.log 2>&1; then
    verdict="DOES NOT BUILD"
  elif timeout 240 "build/tests/test-$test" >test.log 2>&1; then
    verdict=MISSED
  else
    verdict="caught: $(grep -oE ':[FE]:[a-z-]+:[a-z_]+' test.log | head -1 |
      sed 's/.*://')"
  fi
  case $verdict in caught*) ;; *) missed=1 ;; esac
  printf '%-3s %-46s %-16s %s\n' "$point" "$rule" "$test" "$verdict"
  git checkout -q .
}

mutant 1 "guarantee slots are updated at each tick" sched/core.c \
  '/^ *gr_tick_guarantee_slots (core);/d' sched
mutant 2 "no unthrottling before the record is durable" sched/steps.c \
  '/^step_committing/,/^}/s/if (job->durable_version < job->record.version)/if (false)/' sched-random
mutant 3 "a response must carry the key of the request" targets/executor.c \
  's/if (!header_equals (response, "Request-Key", request_key))/if (false \&\& !header_equals (response, "Request-Key", request_key))/' executor
mutant 4 "a lost owner reply does not mean not-run" entry/owner.c \
  's/bool no_effect = error->kind == GR_ERROR_NO_TARGET;/bool no_effect = true;/' publish
mutant 5 "a mark is created once" entry/marks.c \
  '/gr_kv_txn_if_created_at (txn, mark->key, 0);/d' entry
mutant 6 "leaving notices from any source count" members/members.c \
  's/record->listed_leaving || has_valid_notice (members, record, now_ms)/record->listed_leaving || (false \&\& has_valid_notice (members, record, now_ms))/' members
mutant 7 "graceful shutdown completes requests in flight" entry/main.c \
  's/^ *gr_entry_stop (run->entry);/    g_main_loop_quit (run->loop);/' process-requests
mutant 8 "revisions are applied in ascending order" settings/store.c \
  's/if (document != NULL \&\& revision <= document->revision)/if (false)/' settings-store
mutant 8 "acceptance needs a majority" entry/publish.c \
  's/|| g_hash_table_size (publish->held_by) < publish->majority)/|| g_hash_table_size (publish->held_by) < 1)/' process-settings
exit $missed
