#include "sched/core.h"

#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/quarantine.h"
#include "sched/witness.h"

#include <string.h>

/* --- Silence ------------------------------------------------------------ */

static void
fail_members (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    if (worker->holder[a] != NULL)
      gr_member_silent (core, worker->holder[a]);
}

static void
forget_gone (struct gr_core *core)
{
  for (uint32_t i = core->gone->len; i > 0; i--)
    {
      struct gr_core_worker *worker = g_ptr_array_index (core->gone, i - 1);

      bool forget = worker->gone || worker->replaced;

      if (forget && (worker->held | worker->in_unit) != 0)
        continue;
      g_ptr_array_remove_index_fast (core->gone, i - 1);
      if (!forget)
        continue;
      gr_claims_forget_worker (core, worker);
      gr_worker_remove (core, worker);
    }
}

static void
silence_queue (struct gr_core *core, GQueue *queue, int64_t after_ms)
{
  while (queue->head != NULL)
    {
      struct gr_core_worker *worker = queue->head->data;

      if (core->active_ms - worker->heard_active_ms <= after_ms)
        return;
      gr_worker_forget_heard (worker);
      worker->silent = true;
      gr_worker_update (core, worker);
      fail_members (core, worker);
    }
}

void
gr_system_silence (struct gr_core *core)
{
  const struct gr_core_config *config = &core->config;

  silence_queue (core, &core->heard_busy,
                 config->call_timeout_ms + config->report_busy_ms);
  silence_queue (core, &core->heard_idle,
                 config->call_timeout_ms + config->report_idle_ms);
  forget_gone (core);
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

static void
lose_worker (struct gr_core *core, struct gr_core_worker *worker)
{
  if (worker->gone)
    return;
  worker->gone = true;
  worker->silent = true;
  gr_worker_forget_heard (worker);
  if (!g_ptr_array_find (core->gone, worker, NULL))
    g_ptr_array_add (core->gone, worker);
  gr_worker_update (core, worker);
  fail_members (core, worker);
}

void
gr_core_worker_gone (struct gr_core *core, const char *name, int64_t now_ms)
{
  struct gr_core_worker *worker = gr_worker_find (core, name);

  gr_core_set_now (core, now_ms);
  if (worker != NULL)
    lose_worker (core, worker);
}

/* --- Reports ------------------------------------------------------------ */

/* False for a late report of a former incarnation. */
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

/* True if another instance reports under the name of the worker. */
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

/* Marks the reported leases that are known, and binds adopted members. */
static void
read_leases (struct gr_core *core,
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
      member->seen_report = core->n_reports;
      if (!member->lost)
        gr_member_granted (core, member);
    }
  if (foreign != worker->foreign)
    gr_worker_touch (core, worker);
  worker->foreign = foreign;
}

static void
read_task (struct gr_core *core, const struct gr_task_report *task)
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

/* A lease that was granted and is missing has expired. A report can be as old
 * as a call may take, and older if this process was paused, so that younger
 * facts win and pauses do not count. */
static void
find_lost (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->granted
          && core->active_ms - member->confirmed_active_ms
                 > core->config.call_timeout_ms)
        gr_member_lost (core, member);
    }
}

/* A restarted worker has lost its leases. A missing one may also have been
 * granted after the report was made, so that it is released and not taken for
 * gone. */
static void
stop_missing (struct gr_core *core, struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->seen_report != core->n_reports)
        gr_member_silent (core, member);
    }
}

/* Adopted members that the first report of their worker does not show. */
static void
find_not_adopted (struct gr_core *core, struct gr_core_worker *worker)
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
      /* Becomes known anew after what it held has ended. */
      worker->replaced = true;
      lose_worker (core, worker);
      return;
    }
  core->n_reports++;
  worker->leaving = worker->leaving || report->leaving;
  read_leases (core, worker, report);
  for (uint32_t i = 0; i < report->n_tasks; i++)
    read_task (core, &report->tasks[i]);
  if (restarted)
    stop_missing (core, worker);
  find_lost (core, worker);
  find_not_adopted (core, worker);
  gr_worker_heard (core, worker);
}

/* --- Answers ------------------------------------------------------------ */

/* Wait before a call that failed is sent again. A worker that refuses
 * connections answers at once; without the wait four of them got 630 calls a
 * second. */
#define CALL_AGAIN_MS 500

static void
call_again (struct gr_core *core, struct gr_core_member *member)
{
  member->sent_ms = core->now_ms - core->config.call_timeout_ms + CALL_AGAIN_MS;
}

static bool
is_unanswered (enum gr_error_kind kind)
{
  return kind == GR_ERROR_TIMEOUT || kind == GR_ERROR_IO
         || kind == GR_ERROR_NO_TARGET || kind == GR_ERROR_CANCELLED
         || kind == GR_ERROR_PROTOCOL;
}

static bool
is_gone (enum gr_error_kind kind)
{
  return kind == GR_ERROR_CONFLICT || kind == GR_ERROR_NOT_FOUND;
}

static void
answer_grant (struct gr_core *core,
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
  /* The worker knows of a lease that its reports did not show yet. */
  if (kind == GR_ERROR_CONFLICT)
    member->worker->foreign |= member->mask;
  gr_gang_stop (core, member->job, GR_STOP_ABORT, "a worker refused a lease");
}

static void
answer_start (struct gr_core *core,
              struct gr_core_member *member,
              enum gr_error_kind kind)
{
  if (kind == GR_ERROR_NONE)
    gr_member_started (core, member);
  else if (member->started || member->job->phase != GR_PHASE_STARTING)
    return;
  else if (is_gone (kind))
    gr_member_lost (core, member);
  else
    gr_member_failed (core, member);
}

/* A refusal under a lease that was confirmed a moment ago means that the task
 * itself has ended. Taken for a lost lease, it would not count against a worker
 * that fails everything. */
static void
answer_unthrottle (struct gr_core *core,
                   struct gr_core_member *member,
                   enum gr_error_kind kind)
{
  bool lease_lives = core->active_ms - member->confirmed_active_ms
                     <= core->config.call_timeout_ms;

  if (kind == GR_ERROR_NONE)
    gr_member_unthrottled (core, member);
  else if (is_gone (kind) && lease_lives)
    gr_member_failed (core, member);
  else if (is_gone (kind))
    gr_member_lost (core, member);
}

/* For RELEASE and STOP a lease or task that is gone is as good. Another error
 * is tried again. */
static void
answer_end (struct gr_core *core,
            struct gr_core_member *member,
            enum gr_command_kind command,
            enum gr_error_kind kind)
{
  if (kind != GR_ERROR_NONE && !is_gone (kind))
    call_again (core, member);
  else
    {
      gr_member_stopped (core, member);
      if (command == GR_COMMAND_RELEASE)
        gr_member_released (core, member);
    }
}

static void
dispatch (struct gr_core *core,
          struct gr_core_member *member,
          enum gr_command_kind command,
          enum gr_error_kind kind)
{
  switch (command)
    {
    case GR_COMMAND_GRANT:
      answer_grant (core, member, kind);
      break;
    case GR_COMMAND_RENEW:
      if (is_gone (kind))
        gr_member_lost (core, member);
      break;
    case GR_COMMAND_START:
      answer_start (core, member, kind);
      break;
    case GR_COMMAND_UNTHROTTLE:
      answer_unthrottle (core, member, kind);
      break;
    case GR_COMMAND_CHECKPOINT:
      if (kind == GR_ERROR_NONE)
        gr_member_checkpointed (core, member);
      break;
    case GR_COMMAND_RELEASE:
    case GR_COMMAND_STOP:
      answer_end (core, member, command, kind);
      break;
    case GR_COMMAND_COMMIT:
      break;
    }
}

void
gr_core_answer (struct gr_core *core,
                enum gr_command_kind command,
                const char *id,
                enum gr_error_kind kind,
                int64_t now_ms)
{
  struct gr_core_member *member = g_hash_table_lookup (core->members, id);

  gr_core_set_now (core, now_ms);
  if (member == NULL || member->worker == NULL)
    return;
  if (is_unanswered (kind))
    {
      if (kind == GR_ERROR_NO_TARGET)
        {
          member->worker->suspect = true;
          gr_worker_update (core, member->worker);
        }
      call_again (core, member);
      gr_job_wake (core, member->job);
      return;
    }
  gr_worker_heard (core, member->worker);
  dispatch (core, member, command, kind);
}
