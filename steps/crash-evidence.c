#include "steps/crash-evidence.h"

#include "common/log.h"
#include "steps/losses.h"

#include <string.h>

/* A crash under a task counts against it only if nothing else explains it:
 * neither a common cause, by which other workers crashed at the same time, nor
 * another task on the same worker that is more likely to have caused it. */

/* The platform permits giving up a task after two crashes, and requires it
 * before the sixth start. */
#define MAX_EARLY_CRASHES 3

/* Later crashes often have other causes, so more of them are needed. */
#define MAX_CRASHES 4

/* A suspected task is started only while no other workers crash, so that fewer
 * counted crashes are enough once, with the dismissed ones, there were so many.
 * Keeps such a task below the sixth start as well. */
#define MIN_CRASHES_AFTER_DISMISSED 2
#define MIN_CRASHES_WITH_DISMISSED 4

/* So many crashes right after a start give a task up even if others crashed at
 * the same times: one that does not cause them hardly meets as many, and the
 * platform permits no sixth start. */
#define MAX_IMMEDIATE_CRASHES 5

/* Crashes of so many other workers, none of them under a suspected task, have a
 * cause of their own. A single one may be a coincidence. */
#define MIN_UNRELATED_CRASHES 2

/* A connection that is lost within this time after the start was confirmed was
 * likely lost because of it. Other runs that have just started may be there
 * only because everything was started again after a wave of crashes. */
#define IMMEDIATE_CRASH_MS 150

/* So many other workers must have reported since a crash. */
#define MIN_REPORTS 4

/* Time for the reports of other workers and for the crashes of those that are
 * polled anyway. Workers answer within milliseconds. */
#define ASSESSMENT_MS 100

/* Crashes that are noticed up to so long before another one may have the same
 * cause: those behind one cut are noticed up to a second apart, as a poll of a
 * lost worker takes 350 ms and is repeated after 300 ms. */
#define RELATED_MS 1000

/* The same for later ones. A crash is noticed about 300 ms after the connection
 * to the worker was lost, and is assessed 100 ms later. */
#define SETTLING_MS 400

/* A crash that could not be verified until then never is. */
#define MAX_ASSESSMENT_MS 1000

/* A restarted worker is polled before its runs are released, so crashes under
 * them are assessed later than they were noted. */
#define HISTORY_MS 10000

/* A task that crashed its workers soon after so many starts is held back while
 * other workers crash, as a further crash would show nothing. */
#define HOLD_EARLY_CRASHES 2

/* It is held back no longer than this after its last crash, as workers can go
 * on crashing. */
#define MAX_HOLD_MS 5000

/* How likely it is that a run has caused the crash of its worker. */
enum blame
{
  BLAME_NONE,
  BLAME_OLD,       /* it was at work for a while */
  BLAME_NEW,       /* it had just started, or late crashes count against it */
  BLAME_SUSPECTED, /* it had just started, and crashes count against it */
};

/* A crash of a worker under a task that is not settled yet. */
struct crash_report
{
  char task[GR_TASK_NAME_SIZE];
  char worker[GR_TASK_NAME_SIZE];
  int64_t at_ms;
  int64_t unreachable_ms; /* since when the worker was not reachable; at_ms if
                             it was */
  bool restarted;         /* noticed only when the worker was back */
  bool confirmed;         /* the process is known to have received the start */
  bool early;             /* within GR_EARLY_CRASH_MS of the start */
  bool immediate;         /* the connection was lost right after the start */
  bool proven;  /* the run has ended; until then the worker may only refuse
                   connections, and the job is not given up */
  bool counted; /* as evidence; a later crash of others can still dismiss it */
  bool dismissed; /* as no evidence */
  bool inherited; /* the crashes that a former owner has counted; they can no
                     longer be dismissed */
};

void
gr_crash_create_tables (struct gr_steps *steps)
{
  steps->crash_log = gr_crash_log_create ();
  steps->crash_reports =
      g_array_new (FALSE, FALSE, sizeof (struct crash_report));
}

void
gr_crash_destroy_tables (struct gr_steps *steps)
{
  gr_crash_log_destroy (steps->crash_log);
  g_array_unref (steps->crash_reports);
}

/* It is not known when an adopted run has started. */
static bool
had_just_started (const struct task *task, int64_t at_ms)
{
  return !task->adopted && at_ms - task->placed_ms < GR_EARLY_CRASH_MS;
}

bool
gr_crash_has_just_started (const struct gr_steps *steps,
                           const struct task *task)
{
  return had_just_started (task, steps->now_ms);
}

bool
gr_crash_is_proven (const struct task *task)
{
  uint32_t early = task->early_crashes + task->unconfirmed_crashes;

  return task->early_crashes >= MAX_EARLY_CRASHES
         || task->crashes + task->unconfirmed_crashes >= MAX_CRASHES
         || (early >= MIN_CRASHES_AFTER_DISMISSED
             && early + task->dismissed_crashes >= MIN_CRASHES_WITH_DISMISSED)
         || task->early_crashes + task->dismissed_crashes
                >= MAX_IMMEDIATE_CRASHES;
}

bool
gr_crash_is_suspected (const struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->crashes + task->unconfirmed_crashes + task->crashes_unassessed
          > 0)
        return true;
    }
  return false;
}

static enum blame
blame_of (const struct task *task, int64_t at_ms)
{
  if (task->state == TASK_DONE)
    return BLAME_NONE;
  if (had_just_started (task, at_ms))
    return task->crashes + task->unconfirmed_crashes > 0 ? BLAME_SUSPECTED
                                                         : BLAME_NEW;
  return task->crashes > task->early_crashes ? BLAME_NEW : BLAME_OLD;
}

/* What the crash of the worker would show about crashes of others. */
static enum gr_crash_suspicion
suspicion_of (const struct gr_steps *steps, const struct worker *worker)
{
  enum gr_crash_suspicion suspicion = GR_CRASH_UNSUSPECTED;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (blame_of (task, steps->now_ms) < BLAME_NEW)
        continue;
      if (task->crashes + task->unconfirmed_crashes > 0)
        return GR_CRASH_SUSPECTED;
      suspicion = GR_CRASH_NEW_RUN;
    }
  return suspicion;
}

/* Workers that are about to leave are not polled. */
static bool
can_report (const struct worker *worker)
{
  return worker->registered && worker->reachable && !worker->draining
         && !worker->closed;
}

/* Other workers show whether they crashed as well. Those whose requested report
 * is late may have crashed themselves, so that further ones are asked. */
static void
request_reports (struct gr_steps *steps,
                 const char *crashed,
                 int64_t at_ms,
                 uint32_t wanted)
{
  guint first = 0;

  while (first < steps->worker_rows->len
         && strcmp (((struct worker *)steps->worker_rows->pdata[first])->id,
                    crashed)
                <= 0)
    first++;
  for (guint i = 0; i < steps->worker_rows->len && wanted > 0; i++)
    {
      struct worker *worker =
          steps->worker_rows->pdata[(first + i) % steps->worker_rows->len];

      if (!can_report (worker) || worker->reported_ms >= at_ms
          || g_str_equal (worker->id, crashed))
        continue;
      if (worker->poll_needed
          && steps->now_ms - worker->poll_requested_ms >= ASSESSMENT_MS)
        continue;
      wanted--;
      gr_crash_request_poll (steps, worker);
    }
}

void
gr_crash_note_worker (struct gr_steps *steps,
                      struct worker *worker,
                      bool restarted)
{
  g_autoptr (GPtrArray) jobs = NULL;

  if (worker->crash_noted || worker->draining || worker->closed)
    return;
  worker->crash_noted = true;
  worker->crashed_ms = steps->now_ms;
  worker->crash_unreachable_ms =
      restarted || worker->reachable ? steps->now_ms : worker->unreachable_ms;
  worker->crash_restarted = restarted;
  worker->blame = BLAME_NONE;
  jobs = g_ptr_array_new ();
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      worker->blame = MAX (worker->blame, blame_of (task, steps->now_ms));
      g_ptr_array_add (jobs, gr_task_job (task)->spec->id);
    }
  g_ptr_array_add (jobs, NULL);
  gr_crash_log_add (steps->crash_log, worker->id,
                    (const char *const *)jobs->pdata,
                    suspicion_of (steps, worker), restarted, steps->now_ms);
  request_reports (steps, worker->id, steps->now_ms, MIN_REPORTS);
}

/* True if the crash may count against the task. Its run can be released later
 * than the crash was noted. Lasting tasks run for so long that later crashes
 * show nothing. */
static bool
is_relevant (const struct worker *worker,
             const struct task *task,
             bool confirmed)
{
  int64_t at_ms = worker->crashed_ms;

  if (task->state == TASK_DONE || (!confirmed && task->possible_starts == 0)
      || blame_of (task, at_ms) < worker->blame)
    return false;
  if (had_just_started (task, at_ms))
    return true;
  return !task->step->spec->lasting
         && at_ms - task->placed_ms < GR_CRASH_WINDOW_MS;
}

static void
log_crash (const struct gr_steps *steps,
           const struct task *task,
           const struct crash_report *report)
{
  char counts[3][16];
  char age[24];

  g_snprintf (counts[0], sizeof counts[0], "%u", task->crashes);
  g_snprintf (counts[1], sizeof counts[1], "%u", task->unconfirmed_crashes);
  g_snprintf (counts[2], sizeof counts[2], "%u", task->dismissed_crashes);
  gr_log_event ("worker-crashed", "worker", report->worker, "task",
                report->task, "start",
                report->confirmed ? "confirmed" : "not confirmed", "placed_ms",
                gr_loss_age (steps, task->placed_ms, age), "crashes", counts[0],
                "unconfirmed", counts[1], "dismissed", counts[2], NULL);
}

void
gr_crash_record (struct gr_steps *steps,
                 const struct worker *worker,
                 struct task *task,
                 bool proven)
{
  struct job *job = gr_task_job (task);
  bool confirmed = gr_crash_is_confirmed (task);
  struct crash_report report = {
    .proven = proven,
    .at_ms = worker->crashed_ms,
    .unreachable_ms = worker->crash_unreachable_ms,
    .restarted = worker->crash_restarted,
    .confirmed = confirmed,
    .early = had_just_started (task, worker->crashed_ms),
  };

  if (gr_job_is_final (job) || worker->draining || worker->closed)
    return;
  task->crash_recorded = !proven;
  task->step->crashed_ms = steps->now_ms;
  report.immediate =
      !confirmed
      || report.unreachable_ms - task->confirmed_ms <= IMMEDIATE_CRASH_MS;
  if (!is_relevant (worker, task, confirmed))
    return;
  gr_task_name (task, report.task);
  g_strlcpy (report.worker, worker->id, sizeof report.worker);
  g_array_append_val (steps->crash_reports, report);
  task->crashes_unassessed++;
  task->early_unassessed += report.early;
  task->step->suspected = true;
  g_strlcpy (task->avoid_worker, worker->id, sizeof task->avoid_worker);
  gr_job_mark_changed (steps, job);
  log_crash (steps, task, &report);
}

void
gr_crash_inherit (struct gr_steps *steps, const struct task *task)
{
  struct crash_report report = {
    .at_ms = steps->now_ms, .proven = true, .counted = true, .inherited = true
  };

  if (task->crashes + task->unconfirmed_crashes + task->dismissed_crashes == 0)
    return;
  /* Workers may still be crashing. */
  task->step->crashed_ms = steps->now_ms;
  task->step->suspected |= gr_crash_is_suspected (task->step);
  if (!gr_crash_is_proven (task))
    return;
  gr_task_name (task, report.task);
  g_array_append_val (steps->crash_reports, report);
}

/* Workers that became unreachable, and have perhaps crashed. */
struct lost_workers
{
  uint32_t unsuspected; /* GR_CRASH_UNSUSPECTED */
  uint32_t new_runs;    /* GR_CRASH_NEW_RUN */
};

/* What other workers show about a crash. */
struct evidence
{
  struct gr_crash_context context;
  struct lost_workers lost; /* at about the same time as the one that crashed */
  uint32_t reports;         /* received since the crash */
  uint32_t possible;        /* workers that could report */
};

static void
add_lost_worker (const struct gr_steps *steps,
                 const struct worker *worker,
                 struct lost_workers *lost)
{
  enum gr_crash_suspicion suspicion = suspicion_of (steps, worker);

  lost->unsuspected += suspicion == GR_CRASH_UNSUSPECTED;
  lost->new_runs += suspicion == GR_CRASH_NEW_RUN;
}

/* True if so many other workers crashed that they have a cause of their own.
 * immediate: the crash followed its start at once, so that other runs which
 * have just started do not explain it. */
static bool
is_wave (const struct gr_crash_context *context,
         const struct lost_workers *lost,
         bool immediate)
{
  uint32_t others = context->unsuspected + lost->unsuspected;

  if (!immediate)
    others += context->new_runs + lost->new_runs;
  return others >= MIN_UNRELATED_CRASHES;
}

static void
add_witness (const struct gr_steps *steps,
             const struct worker *worker,
             const struct crash_report *report,
             struct evidence *evidence)
{
  if (!worker->registered || worker->crash_noted
      || g_str_equal (worker->id, report->worker))
    return;
  if (!worker->reachable)
    {
      if (ABS (worker->unreachable_ms - report->unreachable_ms) <= RELATED_MS)
        add_lost_worker (steps, worker, &evidence->lost);
      return;
    }
  if (!can_report (worker))
    return;
  evidence->possible++;
  if (worker->reported_ms >= report->at_ms)
    evidence->reports++;
}

/* Without other workers that could report, a crash counts if the job had runs
 * on all workers that crashed. */
static bool
is_verified (const struct evidence *evidence)
{
  if (evidence->possible == 0)
    return evidence->context.others == 0;
  return evidence->reports >= MIN (evidence->possible, MIN_REPORTS);
}

/* The task's counter of such crashes. */
static uint32_t *
counter_of (struct task *task, const struct crash_report *report)
{
  return report->confirmed ? &task->crashes : &task->unconfirmed_crashes;
}

static void
count (struct gr_steps *steps, struct task *task, struct crash_report *report)
{
  report->counted = true;
  ++*counter_of (task, report);
  if (report->confirmed && report->early)
    task->early_crashes++;
  steps->crash_counts.counted++;
}

/* Undoes count (). */
static void
withdraw (struct gr_steps *steps,
          struct task *task,
          struct crash_report *report)
{
  report->counted = false;
  --*counter_of (task, report);
  if (report->confirmed && report->early)
    task->early_crashes--;
  steps->crash_counts.counted--;
}

static void
log_assessment (const struct gr_steps *steps,
                const struct crash_report *report,
                const char *outcome,
                const struct evidence *evidence)
{
  char counts[6][16];
  char age[24];

  g_snprintf (counts[0], sizeof counts[0], "%u", evidence->context.others);
  g_snprintf (counts[1], sizeof counts[1], "%u", evidence->context.unsuspected);
  g_snprintf (counts[2], sizeof counts[2], "%u", evidence->lost.unsuspected);
  g_snprintf (counts[3], sizeof counts[3], "%u", evidence->reports);
  g_snprintf (counts[4], sizeof counts[4], "%u", evidence->possible);
  g_snprintf (counts[5], sizeof counts[5], "%u", evidence->context.new_runs);
  gr_log_event ("crash-assessed", "task", report->task, "worker",
                report->worker, "outcome", outcome, "age_ms",
                gr_loss_age (steps, report->at_ms, age), "others_crashed",
                counts[0], "unsuspected", counts[1], "new_runs", counts[5],
                "unreachable", counts[2], "reports", counts[3], "possible",
                counts[4], NULL);
}

/* Returns the report on the present run of the task; NULL if it is settled or
 * there is none. */
static struct crash_report *
find_unproven (struct gr_steps *steps, const struct task *task)
{
  char name[GR_TASK_NAME_SIZE];

  gr_task_name (task, name);
  for (guint i = 0; i < steps->crash_reports->len; i++)
    {
      struct crash_report *report =
          &g_array_index (steps->crash_reports, struct crash_report, i);

      if (!report->proven && g_str_equal (report->task, name))
        return report;
    }
  return NULL;
}

void
gr_crash_prove (struct gr_steps *steps, struct task *task)
{
  struct crash_report *report = find_unproven (steps, task);

  task->crash_recorded = false;
  task->step->crashed_ms = steps->now_ms;
  if (report != NULL)
    report->proven = true;
}

void
gr_crash_withdraw (struct gr_steps *steps, struct task *task)
{
  struct crash_report *report = find_unproven (steps, task);

  task->crash_recorded = false;
  if (report == NULL)
    return;
  if (report->counted)
    withdraw (steps, task, report);
  else if (report->dismissed)
    task->dismissed_crashes -= report->immediate;
  else
    {
      task->crashes_unassessed--;
      task->early_unassessed -= report->early;
    }
  task->crashes_settling = false;
  gr_job_mark_changed (steps, gr_task_job (task));
  g_array_remove_index (
      steps->crash_reports,
      (guint)(report - (struct crash_report *)steps->crash_reports->data));
  task->step->suspected = gr_crash_is_suspected (task->step);
}

void
gr_crash_withdraw_worker (struct gr_steps *steps,
                          struct worker *worker,
                          int64_t since_ms)
{
  if (!worker->crash_noted || since_ms <= worker->crashed_ms
      || worker->incarnation_seen_ms >= worker->crashed_ms)
    return;
  worker->crash_noted = false;
  gr_crash_log_remove (steps->crash_log, worker->id, worker->crashed_ms);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (task->crash_recorded)
        gr_crash_withdraw (steps, task);
    }
}

/* The crash is no evidence against the task, and is added to *counter. */
static void
dismiss (struct gr_steps *steps,
         struct task *task,
         struct crash_report *report,
         uint64_t *counter)
{
  if (report->counted)
    withdraw (steps, task, report);
  report->dismissed = true;
  if (report->immediate)
    task->dismissed_crashes++;
  ++*counter;
}

/* Returns whether the report is settled. */
static bool
assess (struct gr_steps *steps, struct task *task, struct crash_report *report)
{
  int64_t age_ms = steps->now_ms - report->at_ms;
  struct evidence evidence = { 0 };

  if (report->dismissed)
    return report->proven;
  evidence.context = gr_crash_log_context (
      steps->crash_log, report->worker, gr_task_job (task)->spec->id,
      report->restarted, report->at_ms - RELATED_MS,
      report->at_ms + SETTLING_MS);
  if (!report->counted && age_ms >= ASSESSMENT_MS)
    for (guint i = 0; i < steps->worker_rows->len; i++)
      add_witness (steps, steps->worker_rows->pdata[i], report, &evidence);
  if (!report->inherited
      && is_wave (&evidence.context, &evidence.lost, report->immediate))
    {
      log_assessment (steps, report, "common cause", &evidence);
      dismiss (steps, task, report, &steps->crash_counts.common_cause);
      return report->proven;
    }
  if (report->counted)
    return age_ms >= SETTLING_MS && report->proven;
  if (age_ms >= ASSESSMENT_MS && is_verified (&evidence))
    {
      count (steps, task, report);
      log_assessment (steps, report, "counted", &evidence);
      gr_job_mark_changed (steps, gr_task_job (task));
      return age_ms >= SETTLING_MS && report->proven;
    }
  if (age_ms < MAX_ASSESSMENT_MS)
    {
      if (age_ms >= ASSESSMENT_MS && evidence.reports < MIN_REPORTS)
        request_reports (steps, report->worker, report->at_ms,
                         MIN_REPORTS - evidence.reports);
      return false;
    }
  log_assessment (steps, report, "not verified", &evidence);
  dismiss (steps, task, report, &steps->crash_counts.not_verified);
  return report->proven;
}

/* Updates what is derived from the reports that are still open. */
static void
update_tasks (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->crash_reports->len; i++)
    {
      const struct crash_report *report =
          &g_array_index (steps->crash_reports, struct crash_report, i);
      struct task *task = gr_task_find (steps, report->task);

      if (task == NULL || report->dismissed)
        continue;
      if (report->counted)
        task->crashes_settling = true;
      else
        {
          task->crashes_unassessed++;
          task->early_unassessed += report->early;
        }
    }
}

/* Assesses each open report and removes those that are settled; adds their
 * tasks to settled_tasks. */
static void
assess_all (struct gr_steps *steps, GPtrArray *settled_tasks)
{
  for (guint i = steps->crash_reports->len; i-- > 0;)
    {
      struct crash_report *report =
          &g_array_index (steps->crash_reports, struct crash_report, i);
      struct task *task = gr_task_find (steps, report->task);

      if (task == NULL || gr_job_is_final (gr_task_job (task)))
        {
          g_array_remove_index (steps->crash_reports, i);
          continue;
        }
      task->crashes_unassessed = 0;
      task->early_unassessed = 0;
      task->crashes_settling = false;
      if (!assess (steps, task, report))
        continue;
      gr_job_mark_changed (steps, gr_task_job (task));
      g_array_remove_index (steps->crash_reports, i);
      g_ptr_array_add (settled_tasks, task);
    }
}

void
gr_crash_tick (struct gr_steps *steps)
{
  g_autoptr (GPtrArray) settled = NULL;

  gr_crash_log_forget (steps->crash_log, steps->now_ms - HISTORY_MS);
  if (steps->crash_reports->len == 0)
    return;
  settled = g_ptr_array_new ();
  assess_all (steps, settled);
  update_tasks (steps);
  for (guint i = 0; i < settled->len; i++)
    {
      struct task *task = settled->pdata[i];

      task->step->suspected = gr_crash_is_suspected (task->step);
      if (!task->crashes_settling && gr_crash_is_proven (task))
        gr_job_fail (steps, task, task->avoid_worker, GR_FAILURE_CRASHES);
    }
}

/* True while workers crash on which the job has no runs. A new owner does not
 * know whether they do. */
static bool
others_crash (const struct gr_steps *steps, const struct task *task)
{
  struct lost_workers lost = { 0 };
  struct gr_crash_context context =
      gr_crash_log_context (steps->crash_log, "", gr_task_job (task)->spec->id,
                            false, steps->now_ms - RELATED_MS, steps->now_ms);

  if (steps->now_ms - steps->created_ms < RELATED_MS)
    return true;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->registered && !worker->reachable && !worker->crash_noted
          && steps->now_ms - worker->unreachable_ms < RELATED_MS)
        add_lost_worker (steps, worker, &lost);
    }
  return is_wave (&context, &lost, true);
}

bool
gr_crash_holds_start (const struct gr_steps *steps, const struct task *task)
{
  uint32_t early = task->early_crashes + task->unconfirmed_crashes
                   + task->dismissed_crashes + task->early_unassessed;

  if (gr_crash_is_proven (task))
    return true;
  if (task->crashes_unassessed > 0
      && task->crashes + task->unconfirmed_crashes + task->crashes_unassessed
             >= MAX_CRASHES)
    return true;
  if (early < HOLD_EARLY_CRASHES)
    return false;
  if (task->crashes_unassessed > 0)
    return true;
  return steps->now_ms - task->step->crashed_ms < MAX_HOLD_MS
         && others_crash (steps, task);
}

bool
gr_crash_holds_gang (const struct gr_steps *steps, const struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_crash_holds_start (steps, &step->tasks[i]))
      return true;
  return false;
}
