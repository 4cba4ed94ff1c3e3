/* Status of a shard: the shard.status response, gauges, and log events for
 * operators. */
#include "scheduler/shard-private.h"

#include "common/log.h"

#include <string.h>

static void
pack_accounts (struct gr_packer *body, const struct gr_core *core)
{
  GArray *accounts = gr_core_account_status (core);

  gr_pack_array_begin (body, "accounts");
  for (guint i = 0; i < accounts->len; i++)
    {
      const struct gr_core_account_status *account =
          &g_array_index (accounts, struct gr_core_account_status, i);
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "name", account->name);
      gr_pack_int (element, "guaranteed", account->guaranteed);
      gr_pack_int (element, "used", account->used);
      gr_pack_int (element, "borrowed", account->borrowed);
      gr_pack_int (element, "waiting", account->waiting);
      gr_pack_int (element, "waiting_jobs", account->waiting_jobs);
      gr_pack_bool (element, "guarantee_impossible",
                    account->guarantee_impossible);
      gr_pack_array_add (body, element);
    }
  gr_pack_array_end (body);
  g_array_unref (accounts);
}

static void
pack_workers (struct gr_packer *body, const struct gr_core *core)
{
  GArray *workers = gr_core_worker_status (core);

  gr_pack_array_begin (body, "workers");
  for (guint i = 0; i < workers->len; i++)
    {
      const struct gr_core_worker_status *worker =
          &g_array_index (workers, struct gr_core_worker_status, i);
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "name", worker->name);
      gr_pack_string (element, "rack", worker->rack);
      gr_pack_int (element, "accelerators", worker->accelerators);
      gr_pack_int (element, "used", worker->used);
      gr_pack_bool (element, "silent", worker->silent);
      gr_pack_bool (element, "leaving", worker->leaving);
      gr_pack_bool (element, "quarantined", worker->quarantined);
      gr_pack_array_add (body, element);
    }
  gr_pack_array_end (body);
  g_array_unref (workers);
}

void
gr_shard_status (struct gr_shard *shard, struct gr_rpc_call *call)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_core_status status;
  struct gr_packer *body;

  if (!gr_shard_check_readable (shard, &error))
    {
      gr_rpc_fail (call, &error);
      return;
    }
  body = gr_packer_create ();
  gr_core_get_status (shard->core, &status);
  gr_pack_string (body, "shard", shard->name);
  gr_pack_int (body, "epoch", (int64_t)gr_ownership_epoch (shard->ownership));
  gr_pack_string (body, "owner", shard->env.instance);
  gr_pack_int (body, "accelerators", status.accelerators);
  gr_pack_int (body, "free", status.free);
  gr_pack_int (body, "largest_free_block", status.largest_free_block);
  gr_pack_int (body, "jobs_waiting", status.jobs_waiting);
  gr_pack_int (body, "jobs_running", status.jobs_running);
  gr_pack_int (body, "preemptions", status.preemptions);
  gr_pack_bool (body, "witness_holds", status.all_guarantees_placed);
  pack_accounts (body, shard->core);
  pack_workers (body, shard->core);
  gr_rpc_reply (call, body);
  gr_packer_destroy (body);
}

/* Updates set, which contains the names for which the condition holds. Returns
 * true if it holds for name now and did not at the previous call. */
static bool
condition_began (GHashTable *set, const char *name, bool holds)
{
  if (!holds)
    g_hash_table_remove (set, name);
  else if (!g_hash_table_contains (set, name))
    return g_hash_table_add (set, g_strdup (name));
  return false;
}

static void
log_impossible_guarantees (struct gr_shard *shard)
{
  GArray *accounts = gr_core_account_status (shard->core);

  for (guint i = 0; i < accounts->len; i++)
    {
      const struct gr_core_account_status *account =
          &g_array_index (accounts, struct gr_core_account_status, i);

      if (condition_began (shard->impossible_guarantees, account->name,
                           account->guarantee_impossible))
        gr_log_warning ("guarantee-impossible", "account", account->name,
                        "shard", shard->name, NULL);
    }
  g_array_unref (accounts);
}

static void
log_quarantined_workers (struct gr_shard *shard)
{
  GArray *workers = gr_core_worker_status (shard->core);

  for (guint i = 0; i < workers->len; i++)
    {
      const struct gr_core_worker_status *worker =
          &g_array_index (workers, struct gr_core_worker_status, i);

      if (condition_began (shard->quarantined_workers, worker->name,
                           worker->quarantined))
        gr_log_warning ("worker-quarantined", "worker", worker->name, "shard",
                        shard->name, NULL);
    }
  g_array_unref (workers);
}

static void
set_gauge (struct gr_shard *shard, const char *name, int64_t value)
{
  char *labels = g_strdup_printf ("shard=\"%s\"", shard->name);

  gr_counter_set (gr_counters_get (shard->env.counters, name, labels), value);
  g_free (labels);
}

void
gr_shard_publish_status (struct gr_shard *shard)
{
  struct gr_core_status status;

  gr_core_get_status (shard->core, &status);
  set_gauge (shard, "accelerators", status.accelerators);
  set_gauge (shard, "accelerators_free", status.free);
  set_gauge (shard, "largest_free_block", status.largest_free_block);
  set_gauge (shard, "jobs_waiting", status.jobs_waiting);
  set_gauge (shard, "jobs_running", status.jobs_running);
  set_gauge (shard, "preemptions_total", status.preemptions);
  set_gauge (shard, "witness_holds", status.all_guarantees_placed);
  set_gauge (shard, "guarantees_impossible",
             g_hash_table_size (shard->impossible_guarantees));
  set_gauge (shard, "largest_page_bytes",
             (int64_t)gr_journal_fullest_page_bytes (shard->journal));
  log_impossible_guarantees (shard);
  log_quarantined_workers (shard);
}
