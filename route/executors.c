#include "route/executors.h"

#include "common/hash.h"

#include <string.h>

/* Growth of an executor's window with each complete response. Growth is slow
 * while fewer than WINDOW_FREE_SLOTS slots are free, so that refusals as busy
 * stay rare at full load. */
#define WINDOW_FREE_SLOTS 3
#define WINDOW_GROWTH 0.25
#define WINDOW_GROWTH_FULL 0.02

struct executor
{
  struct gr_executor_info info;
  double window; /* limit of requests of this entry in flight there */
  bool listed;
  bool long_allowed;   /* long kinds may use this executor */
  uint64_t long_order; /* hash; long kinds use the executors with the lowest
                          values */
  uint32_t failures;   /* in a row */
  uint32_t refusals;   /* in a row */
  int64_t busy_until_ms;
  int64_t reported_ms;      /* time of the last update of others_busy */
  int64_t heard_ms;         /* when the last status report was requested */
  int64_t failing_since_ms; /* first of the failures in a row */
  int64_t listed_ms; /* when its address changed; 0: it has not changed */
  int64_t probe_interval_ms; /* time between probes; 0: not quarantined */
  int64_t probe_at_ms;
  bool any_probe; /* the next probe need not be idempotent */
};

struct gr_executors
{
  GPtrArray *table;
  GHashTable *by_name;
  enum gr_executor_policy policy;
  uint32_t connections;
  uint32_t long_share_percent;
  uint32_t total_slots;
  uint32_t in_flight;
  uint32_t long_in_flight;
  int64_t list_ms; /* time of the list that is being applied */
};

struct gr_executors *
gr_executors_create (void)
{
  struct gr_executors *executors = g_new0 (struct gr_executors, 1);

  executors->table = g_ptr_array_new_with_free_func (g_free);
  executors->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  executors->policy = GR_POLICY_TWO_CHOICES;
  executors->connections = 6;
  executors->long_share_percent = 50;
  return executors;
}

void
gr_executors_destroy (struct gr_executors *executors)
{
  if (executors == NULL)
    return;
  g_hash_table_destroy (executors->by_name);
  g_ptr_array_unref (executors->table);
  g_free (executors);
}

static bool
is_available (const struct executor *executor)
{
  return executor->listed && !executor->info.leaving;
}

static int
compare_long_order (const void *a, const void *b)
{
  const struct executor *left = *(struct executor *const *)a;
  const struct executor *right = *(struct executor *const *)b;

  return left->long_order < right->long_order
             ? -1
             : left->long_order > right->long_order;
}

/* Marks the executors that long kinds may use: the first ones in order of hash
 * whose slots together are at most long_share_percent of all slots, but at
 * least one executor unless the share is 0. All entries find the same set
 * without coordination, so the other executors stay free of long work (Hawk,
 * ATC 2015). */
static void
update_long_allowed (struct gr_executors *executors)
{
  uint64_t slots_so_far = 0;
  bool first = true;

  executors->total_slots = 0;
  g_ptr_array_sort (executors->table, compare_long_order);
  for (guint i = 0; i < executors->table->len; i++)
    {
      const struct executor *executor = executors->table->pdata[i];

      if (is_available (executor))
        executors->total_slots += executor->info.slots;
    }
  for (guint i = 0; i < executors->table->len; i++)
    {
      struct executor *executor = executors->table->pdata[i];

      executor->long_allowed = false;
      if (!is_available (executor))
        continue;
      slots_so_far += executor->info.slots;
      executor->long_allowed =
          executors->long_share_percent > 0
          && (first
              || slots_so_far * 100 <= (uint64_t)executors->total_slots
                                           * executors->long_share_percent);
      first = false;
    }
}

void
gr_executors_configure (struct gr_executors *executors,
                        enum gr_executor_policy policy,
                        uint32_t connections,
                        uint32_t long_share_percent)
{
  executors->policy = policy;
  executors->connections = connections;
  executors->long_share_percent = long_share_percent;
  update_long_allowed (executors);
}

void
gr_executors_list_begin (struct gr_executors *executors, int64_t now_ms)
{
  executors->list_ms = now_ms;
  for (guint i = 0; i < executors->table->len; i++)
    ((struct executor *)executors->table->pdata[i])->listed = false;
}

void
gr_executors_list_add (struct gr_executors *executors,
                       const char *name,
                       const char *address,
                       bool leaving)
{
  struct executor *executor = g_hash_table_lookup (executors->by_name, name);

  if (executor == NULL)
    {
      executor = g_new0 (struct executor, 1);
      g_strlcpy (executor->info.name, name, sizeof executor->info.name);
      executor->info.slots = GR_EXECUTOR_DEFAULT_SLOTS;
      executor->window = GR_EXECUTOR_DEFAULT_SLOTS;
      executor->long_order = gr_hash_weight ("long", name);
      g_ptr_array_add (executors->table, executor);
      g_hash_table_insert (executors->by_name, executor->info.name, executor);
    }
  if (strcmp (executor->info.address, address) != 0)
    {
      /* A new process under the same name: discard the failures, quarantine and
       * load of the old one. */
      if (executor->info.address[0] != '\0')
        executor->listed_ms = executors->list_ms;
      g_strlcpy (executor->info.address, address,
                 sizeof executor->info.address);
      executor->failures = 0;
      executor->probe_interval_ms = 0;
      executor->info.others_busy = 0;
    }
  executor->listed = true;
  executor->info.leaving = leaving;
}

void
gr_executors_list_end (struct gr_executors *executors)
{
  for (guint i = executors->table->len; i > 0; i--)
    {
      struct executor *executor = executors->table->pdata[i - 1];

      if (executor->listed || executor->info.in_flight > 0)
        continue;
      g_hash_table_remove (executors->by_name, executor->info.name);
      g_ptr_array_remove_index_fast (executors->table, i - 1);
    }
  update_long_allowed (executors);
}

/* True if a call that was sent at sent_ms may have reached an earlier process
 * of the same name. */
static bool
concerns_former_process (const struct executor *executor, int64_t sent_ms)
{
  return executor->listed_ms > 0 && sent_ms <= executor->listed_ms;
}

static void
update_others_busy (struct executor *executor, int32_t busy, int64_t now_ms)
{
  if (busy < 0)
    return;
  executor->info.others_busy =
      MAX (0, busy - (int32_t)executor->info.in_flight);
  executor->reported_ms = now_ms;
}

/* While this entry was cut off, the requests to all executors failed, and the
 * interval between probes says nothing about them. */
static void
allow_probe (struct executor *executor, int64_t now_ms)
{
  executor->probe_interval_ms = GR_QUARANTINE_MIN_MS;
  executor->probe_at_ms = now_ms;
  executor->any_probe = true;
}

void
gr_executors_apply_report (struct gr_executors *executors,
                           const char *name,
                           int32_t slots,
                           int32_t busy,
                           bool leaving,
                           int64_t requested_ms)
{
  struct executor *executor = g_hash_table_lookup (executors->by_name, name);

  if (executor == NULL || concerns_former_process (executor, requested_ms))
    return;
  if (slots >= 1)
    executor->info.slots = (uint32_t)slots;
  if (executor->failures < GR_QUARANTINE_FAILURES)
    executor->probe_interval_ms = 0;
  else if (requested_ms > executor->failing_since_ms
           && executor->heard_ms <= executor->failing_since_ms)
    allow_probe (executor, requested_ms);
  executor->heard_ms = MAX (executor->heard_ms, requested_ms);
  update_others_busy (executor, busy, requested_ms);
  executor->info.leaving = executor->info.leaving || leaving;
  update_long_allowed (executors);
}

static uint32_t
load (const struct executor *executor)
{
  return executor->info.in_flight + (uint32_t)executor->info.others_busy;
}

static bool
is_full (const struct executor *executor, int64_t now_ms)
{
  if (now_ms - executor->reported_ms < GR_FULL_REPORT_VALID_MS)
    return load (executor) >= executor->info.slots;
  return executor->info.in_flight >= executor->info.slots;
}

static bool
is_excluded (const struct executor *executor, const char *const *excluded)
{
  for (; excluded != NULL && *excluded != NULL; excluded++)
    if (strcmp (*excluded, executor->info.name) == 0)
      return true;
  return false;
}

/* A quarantined executor is probed by one request at a time. The request must
 * be idempotent, since it will probably fail, unless the executor is heard of
 * for the first time since its failures began. */
static bool
may_probe (const struct executor *executor, bool idempotent, int64_t now_ms)
{
  return (idempotent || executor->any_probe) && now_ms >= executor->probe_at_ms
         && executor->info.in_flight == 0;
}

static bool
is_eligible (const struct gr_executors *executors,
             const struct executor *executor,
             bool is_long,
             bool idempotent,
             const char *const *excluded,
             int64_t now_ms)
{
  if (!is_available (executor)
      || executor->info.in_flight >= executors->connections
      || now_ms < executor->busy_until_ms || is_excluded (executor, excluded))
    return false;
  if (executor->probe_interval_ms > 0
      && !may_probe (executor, idempotent, now_ms))
    return false;
  if (executors->policy == GR_POLICY_RANDOM)
    return true;
  return executor->info.in_flight < (uint32_t)executor->window
         && !is_full (executor, now_ms) && (!is_long || executor->long_allowed);
}

static bool
long_share_exhausted (const struct gr_executors *executors)
{
  uint64_t allowed =
      (uint64_t)executors->total_slots * executors->long_share_percent / 100;

  if (executors->policy == GR_POLICY_RANDOM)
    return false;
  if (executors->long_share_percent > 0)
    allowed = MAX (allowed, 1);
  return executors->long_in_flight >= allowed;
}

static bool
is_better (const struct executor *a, const struct executor *b)
{
  /* Prefer a probe, otherwise an executor would never leave quarantine. */
  if ((a->probe_interval_ms > 0) != (b->probe_interval_ms > 0))
    return a->probe_interval_ms > 0;
  if (load (a) != load (b))
    return load (a) < load (b);
  return a->info.latency_ms < b->info.latency_ms;
}

static struct executor *
choose (const struct gr_executors *executors,
        GPtrArray *eligible,
        GRand *random)
{
  gint32 count = (gint32)eligible->len;
  gint32 first;
  gint32 second;
  struct executor *a;
  struct executor *b;

  if (count == 0)
    return NULL;
  first = g_rand_int_range (random, 0, count);
  a = eligible->pdata[first];
  if (executors->policy == GR_POLICY_RANDOM || count == 1)
    return a;
  second = g_rand_int_range (random, 0, count - 1);
  if (second >= first)
    second++;
  b = eligible->pdata[second];
  return is_better (b, a) ? b : a;
}

const char *
gr_executors_acquire (struct gr_executors *executors,
                      bool is_long,
                      bool idempotent,
                      const char *const *excluded,
                      int64_t now_ms,
                      GRand *random)
{
  GPtrArray *eligible;
  struct executor *chosen;

  if (is_long && long_share_exhausted (executors))
    return NULL;
  eligible = g_ptr_array_sized_new (executors->table->len);
  for (guint i = 0; i < executors->table->len; i++)
    {
      struct executor *executor = executors->table->pdata[i];

      if (is_eligible (executors, executor, is_long, idempotent, excluded,
                       now_ms))
        g_ptr_array_add (eligible, executor);
    }
  chosen = choose (executors, eligible, random);
  g_ptr_array_unref (eligible);
  if (chosen == NULL)
    return NULL;
  chosen->info.in_flight++;
  executors->in_flight++;
  if (is_long)
    {
      chosen->info.long_in_flight++;
      executors->long_in_flight++;
    }
  return chosen->info.name;
}

void
gr_executors_reclassify_long (struct gr_executors *executors, const char *name)
{
  struct executor *executor = g_hash_table_lookup (executors->by_name, name);

  if (executor == NULL)
    return;
  executor->info.long_in_flight++;
  executors->long_in_flight++;
}

static void
quarantine (struct executor *executor, int64_t now_ms)
{
  if (executor->probe_interval_ms == 0)
    executor->probe_interval_ms = GR_QUARANTINE_MIN_MS;
  else if (now_ms >= executor->probe_at_ms)
    executor->probe_interval_ms =
        MIN (executor->probe_interval_ms * 2, GR_QUARANTINE_MAX_MS);
  executor->probe_at_ms = now_ms + executor->probe_interval_ms;
}

static void
record_failure (struct executor *executor, bool unreachable, int64_t now_ms)
{
  /* A refused connection shows that the process is not running, not that it
   * fails requests; a later status report ends that quarantine. */
  executor->any_probe = false;
  if (!unreachable && executor->failures++ == 0)
    executor->failing_since_ms = now_ms;
  if (unreachable || executor->failures >= GR_QUARANTINE_FAILURES)
    quarantine (executor, now_ms);
}

static void
record_success (struct executor *executor,
                uint32_t connections,
                int64_t latency_ms)
{
  bool has_free_slots =
      load (executor) + WINDOW_FREE_SLOTS <= executor->info.slots;

  executor->window += has_free_slots ? WINDOW_GROWTH : WINDOW_GROWTH_FULL;
  executor->window = MIN (executor->window, connections);
  executor->failures = 0;
  executor->refusals = 0;
  executor->probe_interval_ms = 0;
  if (executor->info.latency_ms == 0)
    executor->info.latency_ms = latency_ms;
  executor->info.latency_ms = (executor->info.latency_ms * 7 + latency_ms) / 8;
}

static void
record_refusal (struct executor *executor, int64_t now_ms)
{
  int64_t pause_ms = (int64_t)GR_BUSY_MIN_MS << MIN (executor->refusals, 10);

  executor->window = MAX (1, executor->info.in_flight);
  executor->refusals++;
  executor->busy_until_ms = now_ms + MIN (pause_ms, GR_BUSY_MAX_MS);
}

void
gr_executors_release (struct gr_executors *executors,
                      const char *name,
                      bool is_long,
                      enum gr_try_result result,
                      int32_t busy,
                      int64_t latency_ms,
                      int64_t now_ms)
{
  struct executor *executor = g_hash_table_lookup (executors->by_name, name);

  g_return_if_fail (executor != NULL && executor->info.in_flight > 0);
  executor->info.in_flight--;
  executors->in_flight--;
  if (is_long)
    {
      executor->info.long_in_flight--;
      executors->long_in_flight--;
    }
  if (concerns_former_process (executor, now_ms - latency_ms))
    return;
  update_others_busy (executor, busy, now_ms);
  switch (result)
    {
    case GR_TRY_OK:
      record_success (executor, executors->connections, latency_ms);
      break;
    case GR_TRY_BUSY:
      record_refusal (executor, now_ms);
      break;
    case GR_TRY_LEAVING:
      executor->info.leaving = true;
      update_long_allowed (executors);
      break;
    case GR_TRY_UNREACHABLE:
    case GR_TRY_FAILED:
      record_failure (executor, result == GR_TRY_UNREACHABLE, now_ms);
      break;
    case GR_TRY_INCONCLUSIVE:
      break;
    }
}

uint32_t
gr_executors_count (const struct gr_executors *executors)
{
  uint32_t count = 0;

  for (guint i = 0; i < executors->table->len; i++)
    count += is_available (executors->table->pdata[i]) ? 1 : 0;
  return count;
}

uint32_t
gr_executors_in_flight (const struct gr_executors *executors)
{
  return executors->in_flight;
}

static void
copy_info (const struct executor *executor, struct gr_executor_info *info)
{
  *info = executor->info;
  info->quarantined = executor->probe_interval_ms > 0;
}

bool
gr_executors_get (const struct gr_executors *executors,
                  const char *name,
                  struct gr_executor_info *info)
{
  const struct executor *executor =
      g_hash_table_lookup (executors->by_name, name);

  if (executor == NULL)
    return false;
  copy_info (executor, info);
  return true;
}

GArray *
gr_executors_all (const struct gr_executors *executors)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (struct gr_executor_info));

  for (guint i = 0; i < executors->table->len; i++)
    {
      struct gr_executor_info info;

      copy_info (executors->table->pdata[i], &info);
      g_array_append_val (all, info);
    }
  return all;
}
