#include "sched/core.h"

#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/quarantine.h"
#include "sched/witness.h"

#include <string.h>

/* --- Contact timeouts --------------------------------------------------- */

static void
fail_members (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    if (worker->holder[a] != NULL)
      gr_member_unreachable (core, worker->holder[a]);
}

static void
free_removed_workers (struct gr_core *core)
{
  for (uint32_t i = core->removed_workers->len; i > 0; i--)
    {
      struct gr_core_worker *worker =
          g_ptr_array_index (core->removed_workers, i - 1);

      bool removable = worker->removed || worker->replaced;

      if (removable && (worker->held | worker->slot_mask) != 0)
        continue;
      g_ptr_array_remove_index_fast (core->removed_workers, i - 1);
      if (!removable)
        continue;
      gr_claims_drop_worker (core, worker);
      gr_worker_remove (core, worker);
    }
}

static void
expire_contacts (struct gr_core *core, GQueue *queue, int64_t after_ms)
{
  while (queue->head != NULL)
    {
      struct gr_core_worker *worker = queue->head->data;

      if (core->active_ms - worker->last_contact_active_ms <= after_ms)
        return;
      gr_worker_untrack_contact (worker);
      worker->silent = true;
      gr_worker_update (core, worker);
      fail_members (core, worker);
    }
}

void
gr_tick_contact_timeouts (struct gr_core *core)
{
  const struct gr_core_config *config = &core->config;

  expire_contacts (core, &core->contact_busy,
                   config->call_timeout_ms + config->report_busy_ms);
  expire_contacts (core, &core->contact_idle,
                   config->call_timeout_ms + config->report_idle_ms);
  free_removed_workers (core);
}

void
gr_core_worker_leaving (struct gr_core *core, const char *name, bool leaving)
{
  struct gr_core_worker *worker = gr_worker_find (core, name);

  if (worker == NULL)
    return;
  worker->leaving = leaving;
  gr_worker_update (core, worker);
}

bool
gr_core_has_worker (const struct gr_core *core, const char *worker)
{
  return gr_worker_find (core, worker) != NULL;
}

void
gr_core_set_unreported (struct gr_core *core, uint32_t n_workers)
{
  core->n_unreported = n_workers;
}

static void
remove_worker (struct gr_core *core, struct gr_core_worker *worker)
{
  if (worker->removed)
    return;
  worker->removed = true;
  worker->silent = true;
  gr_worker_untrack_contact (worker);
  if (!g_ptr_array_find (core->removed_workers, worker, NULL))
    g_ptr_array_add (core->removed_workers, worker);
  gr_worker_update (core, worker);
  fail_members (core, worker);
}

void
gr_core_worker_removed (struct gr_core *core, const char *name, int64_t now_ms)
{
  struct gr_core_worker *worker = gr_worker_find (core, name);

  gr_core_set_now (core, now_ms);
  if (worker != NULL)
    remove_worker (core, worker);
}

/* --- Reports ------------------------------------------------------------ */

/* False for a late report of the previous incarnation. */
static bool
check_incarnation (struct gr_core_worker *worker,
                   const char *incarnation,
                   bool *restarted)
{
  *restarted = false;
  if (strcmp (worker->incarnation, incarnation) == 0)
    return true;
  if (strcmp (worker->old_incarnation, incarnation) == 0)
    return false;
  g_strlcpy (worker->old_incarnation, worker->incarnation,
             sizeof worker->old_incarnation);
  g_strlcpy (worker->incarnation, incarnation, sizeof worker->incarnation);
  worker->leaving = false;
  *restarted = true;
  return true;
}

/* True if the report comes from another machine under the same name: its rack,
 * slot or accelerators differ, or it has fewer cores or less memory. */
static bool
is_replaced (const struct gr_core *core,
             const struct gr_core_worker *worker,
             const struct gr_worker_report *report)
{
  const struct gr_worker_type *type = &core->types[worker->type];

  return strcmp (worker->rack->name, report->rack) != 0
         || worker->rack_slot != report->rack_slot
         || worker->accelerators
                != MIN (report->accelerators, GR_MAX_ACCELERATORS)
         || type->cores > report->cores || type->memory_mb > report->memory_mb;
}

/* Records which known leases the report shows, and attaches adopted members. */
static void
apply_leases (struct gr_core *core,
              struct gr_core_worker *worker,
              const struct gr_worker_report *report)
{
  uint32_t foreign = 0;

  for (uint32_t i = 0; i < report->n_leases; i++)
    {
      const struct gr_lease_report *lease = &report->leases[i];
      struct gr_core_member *member =
          g_hash_table_lookup (core->members, lease->lease);

      if (member == NULL
          || (member->worker != NULL && member->worker != worker))
        {
          foreign |= lease->accelerators & worker->all;
          continue;
        }
      if (member->worker == NULL)
        {
          gr_member_unbind (core, member);
          gr_member_bind (core, member, worker);
        }
      member->last_report = core->n_reports;
      if (!member->lost)
        gr_member_granted (core, member);
    }
  if (foreign != worker->foreign)
    gr_worker_capacity_changed (core, worker);
  worker->foreign = foreign;
}

static void
apply_task (struct gr_core *core, const struct gr_task_report *task)
{
  struct gr_core_member *member =
      g_hash_table_lookup (core->members, task->task);

  if (member == NULL || member->worker == NULL)
    return;
  member->ran_ms = MAX (member->ran_ms, task->ran_ms);
  member->checkpoint_ms = MAX (member->checkpoint_ms, task->checkpoint_ms);
  switch (task->state)
    {
    case GR_TASK_RUNNING:
      if (task->throttle_percent > 0)
        gr_member_unthrottled (core, member);
      else
        gr_member_started (core, member);
      break;
    case GR_TASK_FINISHED:
      gr_member_finished (core, member);
      break;
    case GR_TASK_FAILED:
      gr_member_failed (core, member);
      break;
    case GR_TASK_STOPPED:
      gr_member_stopped (core, member);
      break;
    }
}

/* A granted lease that the report does not show has expired. A report may be
 * up to call_timeout_ms old, and older if this process was paused. So a lease
 * that was confirmed more recently is kept, and pauses do not count. */
static void
lose_expired_leases (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->granted
          && core->active_ms - member->lease_confirmed_active_ms
                 > core->config.call_timeout_ms)
        gr_member_lost (core, member);
    }
}

/* A restarted worker has lost its leases. A missing lease may also have been
 * granted after the report was made, so the member is released, not treated as
 * lost. */
static void
stop_unreported_members (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->last_report != core->n_reports)
        gr_member_unreachable (core, member);
    }
}

/* Adopted members that the first report of their worker does not show are
 * lost. */
static void
lose_unadopted_members (struct gr_core *core, struct gr_core_worker *worker)
{
  GPtrArray *list = g_hash_table_lookup (core->unbound, worker->name);
  g_autoptr (GPtrArray) missing = NULL;

  if (list == NULL)
    return;
  missing = g_ptr_array_copy (list, NULL, NULL);
  g_hash_table_remove (core->unbound, worker->name);
  for (uint32_t i = 0; i < missing->len; i++)
    gr_member_lost (core, g_ptr_array_index (missing, i));
}

void
gr_core_worker_report (struct gr_core *core,
                       const struct gr_worker_report *report,
                       int64_t now_ms)
{
  struct gr_core_worker *worker;
  bool restarted;

  gr_core_set_now (core, now_ms);
  if (core->config.data_centre[0] != '\0'
      && strcmp (core->config.data_centre, report->data_centre) != 0)
    return;
  worker = gr_worker_get (core, report);
  if (!check_incarnation (worker, report->incarnation, &restarted))
    return;
  if (is_replaced (core, worker, report))
    {
      /* The worker is added again after its old leases have ended. */
      worker->replaced = true;
      remove_worker (core, worker);
      return;
    }
  core->n_reports++;
  worker->leaving = worker->leaving || report->leaving;
  apply_leases (core, worker, report);
  for (uint32_t i = 0; i < report->n_tasks; i++)
    apply_task (core, &report->tasks[i]);
  if (restarted)
    stop_unreported_members (core, worker);
  lose_expired_leases (core, worker);
  lose_unadopted_members (core, worker);
  gr_worker_mark_contacted (core, worker);
}

/* --- Results of commands ------------------------------------------------ */

/* Delay before a failed call is sent again. A worker that refuses
 * connections fails calls at once; without the delay, four such workers
 * received 630 calls per second. */
#define RETRY_DELAY_MS 500

static void
schedule_retry (struct gr_core *core, struct gr_core_member *member)
{
  member->sent_ms =
      core->now_ms - core->config.call_timeout_ms + RETRY_DELAY_MS;
}

static bool
has_no_response (enum gr_error_kind kind)
{
  return kind == GR_ERROR_TIMEOUT || kind == GR_ERROR_IO
         || kind == GR_ERROR_NO_TARGET || kind == GR_ERROR_CANCELLED
         || kind == GR_ERROR_PROTOCOL;
}

/* True if the lease or task no longer exists on the worker. */
static bool
is_ended (enum gr_error_kind kind)
{
  return kind == GR_ERROR_CONFLICT || kind == GR_ERROR_NOT_FOUND;
}

static void
handle_grant_result (struct gr_core *core,
                     struct gr_core_member *member,
                     enum gr_error_kind kind)
{
  if (kind == GR_ERROR_NONE)
    {
      gr_member_granted (core, member);
      return;
    }
  if (member->granted || member->job->phase != GR_PHASE_GRANTING)
    return;
  /* The worker has a lease that its reports do not show yet. */
  if (kind == GR_ERROR_CONFLICT)
    member->worker->foreign |= member->mask;
  gr_gang_stop (core, member->job, GR_STOP_ABORT, "a worker refused a lease");
}

static void
handle_start_result (struct gr_core *core,
                     struct gr_core_member *member,
                     enum gr_error_kind kind)
{
  if (kind == GR_ERROR_NONE)
    gr_member_started (core, member);
  else if (member->started || member->job->phase != GR_PHASE_STARTING)
    return;
  else if (kind == GR_ERROR_SHUTTING_DOWN)
    gr_gang_stop (core, member->job, GR_STOP_ABORT, "a worker is leaving");
  else if (is_ended (kind))
    gr_member_lost (core, member);
  else
    gr_member_failed (core, member);
}

/* If the lease was confirmed within call_timeout_ms, a refusal means that
 * the task itself has ended. Treated as a lost lease, it would not count
 * against a worker on which every task fails. */
static void
handle_unthrottle_result (struct gr_core *core,
                          struct gr_core_member *member,
                          enum gr_error_kind kind)
{
  bool lease_confirmed =
      core->now_ms - member->lease_confirmed_ms <= core->config.call_timeout_ms;

  if (kind == GR_ERROR_NONE)
    gr_member_unthrottled (core, member);
  else if (is_ended (kind) && lease_confirmed)
    gr_member_failed (core, member);
  else if (is_ended (kind))
    gr_member_lost (core, member);
}

/* A lease or task that no longer exists counts as released or stopped. Other
 * errors are retried. */
static void
handle_stop_result (struct gr_core *core,
                    struct gr_core_member *member,
                    enum gr_command_kind command,
                    enum gr_error_kind kind)
{
  if (kind != GR_ERROR_NONE && !is_ended (kind))
    schedule_retry (core, member);
  else
    {
      gr_member_stopped (core, member);
      if (command == GR_COMMAND_RELEASE)
        gr_member_released (core, member);
    }
}

static void
handle_result (struct gr_core *core,
               struct gr_core_member *member,
               enum gr_command_kind command,
               enum gr_error_kind kind)
{
  switch (command)
    {
    case GR_COMMAND_GRANT:
      handle_grant_result (core, member, kind);
      break;
    case GR_COMMAND_RENEW:
      if (is_ended (kind))
        gr_member_lost (core, member);
      break;
    case GR_COMMAND_START:
      handle_start_result (core, member, kind);
      break;
    case GR_COMMAND_UNTHROTTLE:
      handle_unthrottle_result (core, member, kind);
      break;
    case GR_COMMAND_CHECKPOINT:
      if (kind == GR_ERROR_NONE)
        gr_member_checkpointed (core, member);
      break;
    case GR_COMMAND_RELEASE:
    case GR_COMMAND_STOP:
      handle_stop_result (core, member, command, kind);
      break;
    case GR_COMMAND_COMMIT:
      break;
    }
}

void
gr_core_command_result (struct gr_core *core,
                        enum gr_command_kind command,
                        const char *id,
                        enum gr_error_kind kind,
                        int64_t now_ms)
{
  struct gr_core_member *member = g_hash_table_lookup (core->members, id);

  gr_core_set_now (core, now_ms);
  if (member == NULL || member->worker == NULL)
    return;
  if (has_no_response (kind))
    {
      if (kind == GR_ERROR_NO_TARGET)
        {
          member->worker->suspect = true;
          gr_worker_update (core, member->worker);
        }
      schedule_retry (core, member);
      gr_job_wake (core, member->job);
      return;
    }
  if (kind == GR_ERROR_SHUTTING_DOWN)
    member->worker->leaving = true;
  gr_worker_mark_contacted (core, member->worker);
  handle_result (core, member, command, kind);
}
