#include "instance/upkeep.h"

#include "common/call-limit.h"
#include "common/log.h"
#include "platform/machines.h"

#include <string.h>

/* Period of listing the machines while a wave is active. */
#define LIST_PERIOD_MS 700

/* Time limit for a page of the list, which is longer while the platform is
 * slow. */
#define LEAST_LIST_LIMIT_MS 1500
#define MOST_LIST_LIMIT_MS 15000

#define WRITE_TIMEOUT_MS 800

/* Minimum time between two writes, so that an outage of the store does not
 * cause many calls. */
#define MIN_WRITE_INTERVAL_MS 400

struct gr_upkeep
{
  struct gr_owner_deps deps;
  struct gr_waves *waves;
  /* NULL if no machines interface is configured. */
  struct gr_machines_client *machines;
  int64_t owner_revision;
  int64_t next_list_ms;
  int64_t next_write_ms;
  int64_t list_sent_ms;
  struct gr_call_limit list_limit;
  bool listing;
  GHashTable *written; /* wave number -> text last written */
  struct write *open;  /* write in flight, or NULL */
};

struct write
{
  struct gr_upkeep *upkeep; /* NULL after the upkeep was destroyed */
  int64_t wave;
  uint32_t sequence; /* of the progress that it stores */
};

struct order_call
{
  struct gr_upkeep *upkeep;
  struct gr_upkeep_order order;
};

/* A wave's record has one line for each machine whose upkeep is finished, with
 * its name, and for each that may be ordered, with its name after this prefix.
 */
#define OPEN_PREFIX "open "

static void
restore_wave (struct gr_upkeep *upkeep, int64_t number)
{
  const char *record = gr_mirror_wave_record (upkeep->deps.mirror, number);
  g_auto (GStrv) lines = g_strsplit (record ? record : "", "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, OPEN_PREFIX))
      gr_waves_restore_open (upkeep->waves, number,
                             *line + strlen (OPEN_PREFIX));
    else
      gr_waves_restore (upkeep->waves, number, *line);
}

/* Returns a wave's record, to be freed with g_free (). */
static char *
format_record (const struct gr_wave_progress *progress)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < progress->done->len; i++)
    g_string_append_printf (text, "%s\n",
                            (const char *)progress->done->pdata[i]);
  for (guint i = 0; i < progress->open->len; i++)
    g_string_append_printf (text, OPEN_PREFIX "%s\n",
                            (const char *)progress->open->pdata[i]);
  return g_string_free (text, FALSE);
}

static void
update_wave (const struct gr_wave_spec *wave, void *context)
{
  struct gr_upkeep *upkeep = context;

  gr_waves_set (upkeep->waves, wave->number,
                (const char *const *)wave->machines, wave->cap);
  if (g_hash_table_contains (upkeep->written, &wave->number))
    return;
  restore_wave (upkeep, wave->number);
  g_hash_table_insert (upkeep->written, g_memdup2 (&wave->number, 8), NULL);
}

static void
list_done (const struct gr_machine *machines,
           size_t n_machines,
           const struct gr_error *error,
           void *context)
{
  struct gr_upkeep *upkeep = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  upkeep->listing = false;
  if (error != NULL)
    {
      if (error->kind == GR_ERROR_TIMEOUT)
        gr_call_limit_timed_out (&upkeep->list_limit);
      gr_log_event ("machines-not-listed", "reason", error->message, NULL);
      return;
    }
  gr_call_limit_answered (&upkeep->list_limit,
                          gr_clock_now_ms (upkeep->deps.clock)
                              - upkeep->list_sent_ms);
  gr_waves_update_machines (upkeep->waves, machines, n_machines,
                            upkeep->list_sent_ms);
}

static void
list_machines (struct gr_upkeep *upkeep)
{
  int64_t now_ms = gr_clock_now_ms (upkeep->deps.clock);

  if (upkeep->listing || now_ms < upkeep->next_list_ms
      || !gr_waves_active (upkeep->waves))
    return;
  upkeep->listing = true;
  upkeep->list_sent_ms = now_ms;
  upkeep->next_list_ms = now_ms + LIST_PERIOD_MS;
  gr_machines_list (upkeep->machines, gr_call_limit_ms (&upkeep->list_limit),
                    (struct gr_machines_reply){ list_done, upkeep });
}

static void
order_done (enum gr_upkeep_result result, void *context)
{
  struct order_call *call = context;

  gr_waves_result (call->upkeep->waves, &call->order, result,
                   gr_clock_now_ms (call->upkeep->deps.clock));
  g_free (call);
}

static void
send_orders (struct gr_upkeep *upkeep)
{
  struct gr_upkeep_order order;

  while (gr_waves_take_order (upkeep->waves, &order))
    {
      struct order_call *call = g_new0 (struct order_call, 1);

      call->upkeep = upkeep;
      call->order = order;
      gr_machines_order_upkeep (upkeep->machines, &order,
                                GR_UPKEEP_ORDER_TIMEOUT_MS,
                                (struct gr_upkeep_reply){ order_done, call });
    }
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct write *write = context;
  struct gr_upkeep *upkeep = write->upkeep;

  if (upkeep != NULL)
    {
      upkeep->open = NULL;
      /* Not written, so the next gr_upkeep_run () tries again. */
      if (error != NULL || !result->conditions_held)
        g_hash_table_replace (upkeep->written, g_memdup2 (&write->wave, 8),
                              NULL);
      else
        gr_waves_stored (upkeep->waves, write->wave, write->sequence);
    }
  g_free (write);
}

static void
write_wave (const struct gr_wave_progress *progress, void *context)
{
  struct gr_upkeep *upkeep = context;
  int64_t number = progress->wave;
  g_autofree char *status_key = gr_wave_status_key (number);
  g_autofree char *value = gr_wave_status_value (progress->complete);
  g_autofree char *record_key =
      g_strdup_printf (GR_RECORD_WAVE "%" G_GINT64_FORMAT, number);
  g_autofree char *record = format_record (progress);
  char *text = g_strconcat (value, "\n", record, NULL);
  struct gr_metastore_txn *txn;

  if (upkeep->open != NULL
      || gr_clock_now_ms (upkeep->deps.clock) < upkeep->next_write_ms
      || g_strcmp0 (g_hash_table_lookup (upkeep->written, &number), text) == 0)
    {
      g_free (text);
      return;
    }
  g_hash_table_replace (upkeep->written, g_memdup2 (&number, 8), text);
  upkeep->next_write_ms =
      gr_clock_now_ms (upkeep->deps.clock) + MIN_WRITE_INTERVAL_MS;
  upkeep->open = g_new0 (struct write, 1);
  upkeep->open->upkeep = upkeep;
  upkeep->open->wave = number;
  upkeep->open->sequence = progress->sequence;
  txn = gr_metastore_txn_create ();
  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, upkeep->owner_revision);
  gr_metastore_txn_put (txn, status_key, value, strlen (value), 0);
  gr_metastore_txn_put (txn, record_key, record, strlen (record), 0);
  gr_metastore_commit (upkeep->deps.store, txn, WRITE_TIMEOUT_MS,
                       (struct gr_metastore_reply){ write_done, upkeep->open });
}

void
gr_upkeep_run (struct gr_upkeep *upkeep)
{
  gr_config_view_each_wave (upkeep->deps.config, update_wave, upkeep);
  if (upkeep->machines == NULL)
    return;
  list_machines (upkeep);
  gr_waves_tick (upkeep->waves, gr_clock_now_ms (upkeep->deps.clock));
  send_orders (upkeep);
  gr_waves_each (upkeep->waves, write_wave, upkeep);
}

struct gr_upkeep *
gr_upkeep_create (const struct gr_owner_deps *deps,
                  struct gr_steps *steps,
                  int64_t epoch,
                  int64_t owner_revision)
{
  struct gr_upkeep *upkeep = g_new0 (struct gr_upkeep, 1);
  const struct gr_instance_settings *settings = deps->settings;

  upkeep->deps = *deps;
  upkeep->owner_revision = owner_revision;
  upkeep->list_limit.least_ms = LEAST_LIST_LIMIT_MS;
  upkeep->list_limit.most_ms = MOST_LIST_LIMIT_MS;
  upkeep->waves = gr_waves_create (steps);
  upkeep->written =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  if (settings->machines_address[0] != '\0')
    upkeep->machines = gr_machines_client_create (
        settings->machines_address, settings->instance, epoch, deps->counters);
  return upkeep;
}

void
gr_upkeep_destroy (struct gr_upkeep *upkeep)
{
  if (upkeep == NULL)
    return;
  if (upkeep->open != NULL)
    upkeep->open->upkeep = NULL;
  gr_machines_client_destroy (upkeep->machines);
  gr_waves_destroy (upkeep->waves);
  g_hash_table_destroy (upkeep->written);
  g_free (upkeep);
}
