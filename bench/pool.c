#include "bench/pool.h"

#include "sched/invariants.h"

#include <string.h>
#include <time.h>

/* Simulated time at the start. Not 0, since 0 means "not yet" in pool.h. */
#define START_MS 1000000

/* Result of a command. */
struct answer
{
  enum gr_command_kind kind;
  enum gr_error_kind error;
  uint64_t version;
  char id[GR_ID_MAX]; /* of the job for a commit, otherwise of the lease */
};

static int
compare_finish_times (const void *a, const void *b, void *user_data)
{
  const struct pool_task *left = a;
  const struct pool_task *right = b;

  (void)user_data;
  if (left->finish_ms != right->finish_ms)
    return left->finish_ms < right->finish_ms ? -1 : 1;
  return left->sequence < right->sequence ? -1
                                          : left->sequence > right->sequence;
}

static void
shard_init (struct pool *pool, uint32_t index, uint32_t n_workers)
{
  struct pool_shard *shard = &pool->shards[index];
  struct gr_core_config config = {
    .holder = "bench",
    .epoch = 1,
    .policy = pool->options.policy,
    .start_lease_term_ms = 10000,
    .run_lease_term_ms = 30000,
    .call_timeout_ms = 3000,
    .max_attempts = 3,
  };

  g_snprintf (shard->name, sizeof shard->name, "dc%u", index + 1);
  g_strlcpy (config.shard, shard->name, sizeof config.shard);
  g_strlcpy (config.data_centre, shard->name, sizeof config.data_centre);
  shard->core = gr_core_create (&config, pool->rand);
  shard->n_workers = n_workers;
  shard->workers = g_new0 (struct pool_worker, n_workers);
  shard->answers = g_array_new (FALSE, FALSE, sizeof (struct answer));
  shard->next_tick_ms = pool->now_ms;
  for (uint32_t i = 0; i < n_workers; i++)
    {
      struct pool_worker *worker = &shard->workers[i];

      g_snprintf (worker->name, sizeof worker->name, "%s-w%u", shard->name, i);
      g_snprintf (worker->rack, sizeof worker->rack, "%s-r%04u", shard->name,
                  i / BENCH_RACK_WORKERS);
      worker->slot = i % BENCH_RACK_WORKERS;
      worker->tasks = g_ptr_array_new ();
    }
}

struct pool *
pool_create (const struct pool_options *options,
             const struct bench_deployment *deployment,
             uint32_t seed)
{
  struct pool *pool = g_new0 (struct pool, 1);

  pool->options = *options;
  pool->rand = g_rand_new_with_seed (seed);
  pool->now_ms = START_MS;
  pool->n_shards = options->n_shards;
  pool->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  pool->submitted_jobs = g_ptr_array_new ();
  pool->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  pool->running_tasks =
      g_tree_new_full (compare_finish_times, NULL, NULL, NULL);
  pool->commands = g_array_new (FALSE, FALSE, sizeof (struct gr_command));
  for (uint32_t s = 0; s < pool->n_shards; s++)
    {
      uint32_t n = options->n_workers / pool->n_shards;

      shard_init (pool, s, n + (s < options->n_workers % pool->n_shards));
      for (uint32_t a = 0; a < deployment->n_accounts; a++)
        gr_core_set_account (pool->shards[s].core, &deployment->accounts[a]);
    }
  return pool;
}

static void
task_remove (struct pool *pool, struct pool_task *task)
{
  if (task->finish_ms != 0)
    g_tree_remove (pool->running_tasks, task);
  task->worker->leased &= ~task->accelerators;
  g_ptr_array_remove_fast (task->worker->tasks, task);
  g_hash_table_remove (pool->tasks, task->id);
  g_free (task);
}

void
pool_destroy (struct pool *pool)
{
  for (uint32_t s = 0; s < pool->n_shards; s++)
    {
      struct pool_shard *shard = &pool->shards[s];

      gr_core_destroy (shard->core);
      for (uint32_t i = 0; i < shard->n_workers; i++)
        {
          GPtrArray *tasks = shard->workers[i].tasks;

          while (tasks->len > 0)
            task_remove (pool, tasks->pdata[tasks->len - 1]);
          g_ptr_array_free (tasks, TRUE);
        }
      g_free (shard->workers);
      g_array_free (shard->answers, TRUE);
    }
  g_tree_unref (pool->running_tasks);
  g_hash_table_destroy (pool->tasks);
  g_hash_table_destroy (pool->jobs);
  g_ptr_array_free (pool->submitted_jobs, TRUE);
  g_array_free (pool->commands, TRUE);
  g_rand_free (pool->rand);
  g_free (pool);
}

struct gr_job_spec
pool_job_spec (const char *account,
               const char *key,
               uint32_t workers,
               uint32_t accelerators,
               enum gr_priority priority)
{
  struct gr_job_spec spec = { 0 };

  g_strlcpy (spec.account, account, sizeof spec.account);
  g_strlcpy (spec.key, key, sizeof spec.key);
  spec.shape.workers = workers;
  spec.shape.accelerators_per_worker = accelerators;
  spec.run_ms = 60000;
  spec.priority = priority;
  spec.idempotent = true;
  return spec;
}

struct pool_job *
pool_submit (struct pool *pool,
             uint32_t shard,
             const struct gr_job_spec *spec,
             int64_t run_ms)
{
  const struct gr_job_record *record;
  struct gr_error error = GR_ERROR_INIT;
  struct pool_job *job;

  if (!gr_core_submit (pool->shards[shard].core, spec, pool->now_ms,
                       pool->now_ms, &record, &error))
    return NULL;
  job = g_new0 (struct pool_job, 1);
  g_strlcpy (job->id, record->id, sizeof job->id);
  job->shape = spec->shape;
  job->priority = spec->priority;
  job->shard = shard;
  job->run_ms = run_ms;
  job->submit_ms = pool->now_ms;
  g_hash_table_insert (pool->jobs, job->id, job);
  g_ptr_array_add (pool->submitted_jobs, job);
  pool->n_nonfinal_jobs++;
  /* The scheduler runs a tick within 5 ms after a submission. */
  pool->shards[shard].next_tick_ms =
      MIN (pool->shards[shard].next_tick_ms, pool->now_ms + 5);
  return job;
}

/* --- Tasks -------------------------------------------------------------- */

static int64_t
task_run_time_ms (const struct pool *pool, const struct pool_task *task)
{
  if (task->finish_ms == 0)
    return task->ran_ms;
  return task->ran_ms + pool->now_ms - task->running_since_ms;
}

static void
task_end_run (struct pool *pool,
              struct pool_task *task,
              enum gr_task_state state)
{
  if (task->finish_ms != 0)
    {
      task->ran_ms = task_run_time_ms (pool, task);
      g_tree_remove (pool->running_tasks, task);
      task->finish_ms = 0;
      task->job->n_running--;
      if (state != GR_TASK_FINISHED)
        pool->lost_accelerator_ms +=
            (double)(task->ran_ms - task->checkpoint_ms)
            * __builtin_popcount (task->accelerators);
    }
  if (task->state == GR_TASK_RUNNING)
    task->state = state;
}

static void
task_unthrottle (struct pool *pool,
                 const struct pool_shard *shard,
                 struct pool_task *task)
{
  const struct gr_job_record *record =
      gr_core_find (shard->core, task->job->id);

  if (task->finish_ms != 0 || task->state != GR_TASK_RUNNING)
    return;
  task->running_since_ms = pool->now_ms;
  task->finish_ms =
      pool->now_ms + MAX (1, task->job->run_ms - record->saved_ms);
  g_tree_insert (pool->running_tasks, task, task);
  if (++task->job->n_running == task->job->shape.workers
      && task->job->started_ms == 0)
    task->job->started_ms = pool->now_ms;
}

static void
task_grant (struct pool *pool,
            const struct pool_shard *shard,
            struct pool_worker *worker,
            const struct gr_command *command)
{
  struct pool_task *task = g_new0 (struct pool_task, 1);

  (void)shard;
  g_assert ((worker->leased & command->accelerators) == 0);
  g_strlcpy (task->id, command->lease, sizeof task->id);
  task->job = g_hash_table_lookup (pool->jobs, command->job);
  task->worker = worker;
  task->accelerators = command->accelerators;
  task->sequence = pool->next_sequence++;
  worker->leased |= task->accelerators;
  g_ptr_array_add (worker->tasks, task);
  g_hash_table_insert (pool->tasks, task->id, task);
}

static struct pool_worker *
find_worker (const struct pool_shard *shard, const char *name)
{
  uint32_t index =
      (uint32_t)g_ascii_strtoull (strstr (name, "-w") + 2, NULL, 10);

  return &shard->workers[index];
}

static enum gr_error_kind
execute_command (struct pool *pool,
                 const struct pool_shard *shard,
                 const struct gr_command *command)
{
  struct pool_worker *worker = find_worker (shard, command->worker);
  struct pool_task *task = g_hash_table_lookup (pool->tasks, command->lease);

  if (worker->down_until_ms > pool->now_ms)
    return GR_ERROR_NO_TARGET;
  if (command->kind == GR_COMMAND_GRANT)
    {
      if (task == NULL)
        task_grant (pool, shard, worker, command);
      return GR_ERROR_NONE;
    }
  if (task == NULL)
    return GR_ERROR_NOT_FOUND;
  switch (command->kind)
    {
    case GR_COMMAND_RELEASE:
      task_end_run (pool, task, GR_TASK_STOPPED);
      task_remove (pool, task);
      break;
    case GR_COMMAND_START:
      task->started = true;
      break;
    case GR_COMMAND_UNTHROTTLE:
      task_unthrottle (pool, shard, task);
      break;
    case GR_COMMAND_CHECKPOINT:
      task->checkpoint_ms = task_run_time_ms (pool, task);
      break;
    case GR_COMMAND_STOP:
      task_end_run (pool, task, GR_TASK_STOPPED);
      break;
    default:
      break;
    }
  return GR_ERROR_NONE;
}

void
pool_fail_worker (struct pool *pool,
                  struct pool_worker *worker,
                  int64_t until_ms)
{
  while (worker->tasks->len > 0)
    {
      struct pool_task *task = worker->tasks->pdata[worker->tasks->len - 1];

      task_end_run (pool, task, GR_TASK_FAILED);
      task_remove (pool, task);
    }
  worker->incarnation++;
  worker->down_until_ms = until_ms;
}

/* --- Reports ------------------------------------------------------------ */

static void
send_report (struct pool *pool,
             const struct pool_shard *shard,
             const struct pool_worker *worker)
{
  struct gr_lease_report leases[GR_MAX_ACCELERATORS];
  struct gr_task_report tasks[GR_MAX_ACCELERATORS];
  struct gr_worker_report report;

  memset (&report, 0, sizeof report);
  g_strlcpy (report.worker, worker->name, sizeof report.worker);
  g_snprintf (report.incarnation, sizeof report.incarnation, "%u",
              worker->incarnation);
  g_strlcpy (report.rack, worker->rack, sizeof report.rack);
  g_strlcpy (report.data_centre, shard->name, sizeof report.data_centre);
  report.rack_slot = worker->slot;
  report.accelerators = BENCH_ACCELERATORS;
  report.cores = pool->options.cores;
  report.memory_mb = BENCH_MEMORY_MB;
  report.leases = leases;
  report.tasks = tasks;
  for (uint32_t i = 0; i < worker->tasks->len; i++)
    {
      const struct pool_task *task = worker->tasks->pdata[i];
      struct gr_lease_report *lease = &leases[report.n_leases++];
      struct gr_task_report *task_report = &tasks[report.n_tasks];

      g_strlcpy (lease->lease, task->id, sizeof lease->lease);
      g_strlcpy (lease->holder, "bench", sizeof lease->holder);
      lease->accelerators = task->accelerators;
      lease->remaining_ms = 10000;
      if (!task->started)
        continue;
      report.n_tasks++;
      g_strlcpy (task_report->task, task->id, sizeof task_report->task);
      g_strlcpy (task_report->lease, task->id, sizeof task_report->lease);
      task_report->state = task->state;
      task_report->throttle_percent = task->running_since_ms != 0 ? 100 : 0;
      task_report->ran_ms = task_run_time_ms (pool, task);
      task_report->checkpoint_ms = task->checkpoint_ms;
    }
  gr_core_worker_report (shard->core, &report, pool->now_ms);
}

static void
send_reports (struct pool *pool, struct pool_shard *shard)
{
  uint64_t n_due = (uint64_t)(pool->now_ms - START_MS) * shard->n_workers
                       / (uint64_t)pool->options.report_interval_ms
                   + shard->n_workers;

  for (; shard->n_reports < n_due; shard->n_reports++)
    {
      const struct pool_worker *worker =
          &shard->workers[shard->n_reports % shard->n_workers];

      if (worker->down_until_ms <= pool->now_ms)
        send_report (pool, shard, worker);
    }
}

/* --- Time --------------------------------------------------------------- */

static void
finish_tasks (struct pool *pool)
{
  GTreeNode *node;

  while ((node = g_tree_node_first (pool->running_tasks)) != NULL)
    {
      struct pool_task *task = g_tree_node_value (node);

      if (task->finish_ms > pool->now_ms)
        return;
      task_end_run (pool, task, GR_TASK_FINISHED);
    }
}

static void
deliver_answers (struct pool *pool, struct pool_shard *shard)
{
  for (guint i = 0; i < shard->answers->len; i++)
    {
      const struct answer *answer =
          &g_array_index (shard->answers, struct answer, i);

      if (answer->kind == GR_COMMAND_COMMIT)
        gr_core_committed (shard->core, answer->id, answer->version,
                           pool->now_ms);
      else
        gr_core_command_result (shard->core, answer->kind, answer->id,
                                answer->error, pool->now_ms);
    }
  g_array_set_size (shard->answers, 0);
}

static void
record_job_end (struct pool *pool,
                const struct pool_shard *shard,
                const struct gr_command *command)
{
  const struct gr_job_record *record = gr_core_find (shard->core, command->job);
  struct pool_job *job = g_hash_table_lookup (pool->jobs, command->job);

  if (job->ended_ms != 0 || !gr_job_state_is_final (record->state))
    return;
  job->ended_ms = pool->now_ms + POOL_ANSWER_DELAY_MS;
  job->state = record->state;
  pool->n_nonfinal_jobs--;
}

static void
execute_commands (struct pool *pool, struct pool_shard *shard)
{
  for (guint i = 0; i < pool->commands->len; i++)
    {
      const struct gr_command *command =
          &g_array_index (pool->commands, struct gr_command, i);
      struct answer *answer;

      g_array_set_size (shard->answers, shard->answers->len + 1);
      answer = &g_array_index (shard->answers, struct answer,
                               shard->answers->len - 1);
      answer->kind = command->kind;
      answer->version = command->version;
      answer->error = GR_ERROR_NONE;
      g_strlcpy (answer->id,
                 command->kind == GR_COMMAND_COMMIT ? command->job
                                                    : command->lease,
                 sizeof answer->id);
      if (command->kind == GR_COMMAND_COMMIT)
        record_job_end (pool, shard, command);
      else
        answer->error = execute_command (pool, shard, command);
    }
}

static int64_t
cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

int64_t
pool_tick (struct pool *pool, struct pool_shard *shard)
{
  int64_t start_ns;
  int64_t took_ns;

  finish_tasks (pool);
  deliver_answers (pool, shard);
  send_reports (pool, shard);
  g_array_set_size (pool->commands, 0);
  start_ns = cpu_ns ();
  gr_core_tick (shard->core, pool->now_ms, pool->now_ms, true, pool->commands);
  took_ns = cpu_ns () - start_ns;
  execute_commands (pool, shard);
  shard->next_tick_ms =
      pool->now_ms
      + (shard->answers->len > 0 ? POOL_ANSWER_DELAY_MS
                                 : pool->options.tick_interval_ms);
  return took_ns;
}

void
pool_run_until (struct pool *pool, int64_t until_ms)
{
  for (;;)
    {
      struct pool_shard *next = &pool->shards[0];

      for (uint32_t s = 1; s < pool->n_shards; s++)
        if (pool->shards[s].next_tick_ms < next->next_tick_ms)
          next = &pool->shards[s];
      if (next->next_tick_ms > until_ms)
        break;
      pool->now_ms = MAX (pool->now_ms, next->next_tick_ms);
      pool_tick (pool, next);
    }
  pool->now_ms = until_ms;
}
