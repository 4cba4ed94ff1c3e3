#include "entry/watch.h"

#include "common/log.h"
#include "entry/request.h"

#include <string.h>

/* Executors report their status with every response; only idle ones are
 * polled. */
#define STATUS_INTERVAL_MS 2000
#define STATUS_TIMEOUT_MS 1000

struct status_call
{
  struct gr_entry *entry;
  char name[GR_NAME_MAX];
  int64_t sent_ms;
};

void
gr_entry_target_leaving (struct gr_entry *entry,
                         const char *target,
                         int64_t asked_ms)
{
  if (gr_members_record_target_leaving (entry->members, target, asked_ms,
                                        gr_clock_now_ms (entry->clock)))
    gr_watch_update (entry);
}

/* Logs each target once when it starts leaving, and forgets those that are
 * no longer leaving. */
static void
log_leaving_targets (struct gr_entry *entry, const GArray *targets)
{
  GHashTable *leaving_now = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  void *name;

  for (guint i = 0; i < targets->len; i++)
    {
      const struct gr_target *target =
          &g_array_index (targets, struct gr_target, i);

      if (!target->leaving)
        continue;
      g_hash_table_add (leaving_now, (void *)target->name);
      if (!g_hash_table_add (entry->logged_leaving, g_strdup (target->name)))
        continue;
      gr_log_event ("target-leaving", "target", target->name, NULL);
    }
  g_hash_table_iter_init (&iter, entry->logged_leaving);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (leaving_now, name))
      g_hash_table_iter_remove (&iter);
  g_hash_table_destroy (leaving_now);
}

static void
update_executors (struct gr_entry *entry, const GArray *targets)
{
  gr_executors_list_begin (entry->executors, gr_clock_now_ms (entry->clock));
  for (guint i = 0; i < targets->len; i++)
    {
      const struct gr_target *target =
          &g_array_index (targets, struct gr_target, i);

      if (target->listed)
        gr_executors_list_add (entry->executors, target->name, target->address,
                               target->leaving);
    }
  gr_executors_list_end (entry->executors);
}

static void
log_member_changes (struct gr_entry *entry)
{
  GArray *members = gr_members_list (entry->members);
  int64_t now_ms = gr_clock_now_ms (entry->clock);

  for (guint i = 0; i < members->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (members, struct gr_member, i);
      const char *role = gr_instance_role_name (member->role);
      char *key = g_strconcat (role, " ", member->name, NULL);
      bool was_ready = g_hash_table_contains (entry->logged_ready, key);
      bool is_ready = gr_member_is_ready (member, now_ms);

      if (is_ready && !was_ready)
        {
          gr_log_event ("member-ready", "member", member->name, "role", role,
                        NULL);
          g_hash_table_add (entry->logged_ready, g_strdup (key));
        }
      if (!is_ready && was_ready)
        {
          gr_log_event ("member-lost", "member", member->name, "role", role,
                        NULL);
          g_hash_table_remove (entry->logged_ready, key);
        }
      g_free (key);
    }
  g_array_unref (members);
}

void
gr_watch_update (struct gr_entry *entry)
{
  GArray *targets = gr_members_targets (entry->members, GR_ROLE_EXECUTOR,
                                        gr_clock_now_ms (entry->clock));

  update_executors (entry, targets);
  log_leaving_targets (entry, targets);
  log_member_changes (entry);
  g_array_unref (targets);
  gr_request_dispatch_queued (entry);
}

static void
status_done (const struct gr_executor_status *status,
             const struct gr_error *error,
             void *context)
{
  struct status_call *call = context;
  struct gr_entry *entry = call->entry;

  if (error == NULL && !entry->destroying)
    {
      gr_executors_apply_report (entry->executors, call->name, status->slots,
                                 status->slots_busy, status->leaving,
                                 call->sent_ms);
      if (status->leaving)
        gr_entry_target_leaving (entry, call->name, call->sent_ms);
    }
  g_free (call);
}

static gboolean
poll_idle_executors (gpointer data)
{
  struct gr_entry *entry = data;
  GArray *all = gr_executors_all (entry->executors);

  for (guint i = 0; i < all->len; i++)
    {
      const struct gr_executor_info *info =
          &g_array_index (all, struct gr_executor_info, i);
      struct status_call *call;

      if (info->in_flight > 0 || info->leaving)
        continue;
      call = g_new0 (struct status_call, 1);
      call->entry = entry;
      g_strlcpy (call->name, info->name, sizeof call->name);
      call->sent_ms = gr_clock_now_ms (entry->clock);
      gr_executor_get_status (entry->executor_client, info->address,
                              STATUS_TIMEOUT_MS, status_done, call);
    }
  g_array_unref (all);
  return G_SOURCE_CONTINUE;
}

void
gr_watch_start (struct gr_entry *entry)
{
  entry->status_timer =
      g_timeout_add (STATUS_INTERVAL_MS, poll_idle_executors, entry);
}

void
gr_watch_stop (struct gr_entry *entry)
{
  g_clear_handle_id (&entry->status_timer, g_source_remove);
}
