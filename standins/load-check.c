#include "standins/load-check.h"

#include "http/json.h"

#include <string.h>

/* Further violations are counted only. */
#define MAX_PRINTED_VIOLATIONS 20

/* A request or a job, identified by its key. */
struct work
{
  char *key;
  bool idempotent;
  uint32_t tasks;
  unsigned outcomes;    /* enum gr_load_outcome, combined */
  uint32_t started;     /* starts of the request, or starts of the job's first
                           task that were ever unthrottled */
  uint32_t ran;         /* starts of job tasks that were ever unthrottled */
  GHashTable *attempts; /* of a job: attempt -> number of tasks that ran */
};

struct gr_load_check
{
  GHashTable *work_by_key; /* key -> struct work */
  uint32_t targets_unread; /* targets without a valid response */
  uint32_t targets_read;
  uint32_t violations;
  /* Attempts in which fewer or more tasks ran than the gang has. */
  uint32_t partial_gang_attempts;
};

static void
work_free (void *data)
{
  struct work *work = data;

  g_clear_pointer (&work->attempts, g_hash_table_destroy);
  g_free (work->key);
  g_free (work);
}

struct gr_load_check *
gr_load_check_create (void)
{
  struct gr_load_check *check = g_new0 (struct gr_load_check, 1);

  check->work_by_key =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, work_free);
  return check;
}

void
gr_load_check_destroy (struct gr_load_check *check)
{
  if (check == NULL)
    return;
  g_hash_table_destroy (check->work_by_key);
  g_free (check);
}

void
gr_load_check_add_work (struct gr_load_check *check,
                        const char *key,
                        bool idempotent,
                        uint32_t tasks)
{
  struct work *work = g_new0 (struct work, 1);

  work->key = g_strdup (key);
  work->idempotent = idempotent;
  work->tasks = tasks;
  g_hash_table_replace (check->work_by_key, work->key, work);
}

void
gr_load_check_add_outcome (struct gr_load_check *check,
                           const char *key,
                           enum gr_load_outcome outcome)
{
  struct work *work = g_hash_table_lookup (check->work_by_key, key);

  if (work != NULL)
    work->outcomes |= outcome;
}

/* Reads the counts of one request key. Executors list a request as
 * ACCOUNT.KEY. */
static void
read_executor_key (JsonObject *keys,
                   const char *name,
                   JsonNode *node,
                   void *context)
{
  struct gr_load_check *check = context;
  const char *separator = strchr (name, '.');
  struct work *work;
  int64_t started = 0;

  (void)keys;
  work = separator ? g_hash_table_lookup (check->work_by_key, separator + 1)
                   : NULL;
  if (work == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return;
  gr_json_get_int (json_node_get_object (node), "started", 0, INT32_MAX, 0,
                   &started);
  work->started += (uint32_t)started;
}

/* Reads one task start. The specs of the load tool's jobs end in " job=KEY",
 * and task ids end in ".ATTEMPT.INDEX". */
static void
read_worker_start (struct gr_load_check *check, JsonObject *start)
{
  const char *spec = gr_json_peek_string (start, "spec");
  const char *task = gr_json_peek_string (start, "task");
  const char *key = spec ? strstr (spec, "job=") : NULL;
  const char *separator = task ? strrchr (task, '.') : NULL;
  struct work *work =
      key ? g_hash_table_lookup (check->work_by_key, key + 4) : NULL;
  int64_t unthrottled_ms = -1;
  char *attempt;
  int count;

  if (work == NULL || separator == NULL
      || !gr_json_get_int (start, "unthrottled_ms", -1, INT64_MAX, -1,
                           &unthrottled_ms)
      || unthrottled_ms < 0)
    return;
  work->ran++;
  if (strcmp (separator, ".0") == 0)
    work->started++;
  if (work->attempts == NULL)
    work->attempts =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  attempt = g_strndup (task, (gsize)(separator - task));
  count = GPOINTER_TO_INT (g_hash_table_lookup (work->attempts, attempt));
  g_hash_table_replace (work->attempts, attempt, GINT_TO_POINTER (count + 1));
}

void
gr_load_check_read_control (struct gr_load_check *check, JsonObject *control)
{
  JsonObject *keys = NULL;
  JsonArray *starts = NULL;

  if (control == NULL || !gr_json_get_object (control, "keys", &keys)
      || !gr_json_get_array (control, "starts", &starts))
    {
      check->targets_unread++;
      return;
    }
  check->targets_read++;
  if (keys != NULL)
    json_object_foreach_member (keys, read_executor_key, check);
  for (guint i = 0; starts != NULL && i < json_array_get_length (starts); i++)
    {
      JsonObject *start = gr_json_array_object (starts, i);

      if (start != NULL)
        read_worker_start (check, start);
    }
}

static void
report_violation (struct gr_load_check *check,
                  const struct work *work,
                  const char *reason,
                  GString *text)
{
  if (++check->violations <= MAX_PRINTED_VIOLATIONS)
    g_string_append_printf (text, "violation: %s: %s (started %u)\n", work->key,
                            reason, work->started);
}

static void
count_partial_gangs (struct gr_load_check *check, const struct work *work)
{
  GHashTableIter iter;
  void *count;

  if (work->attempts == NULL)
    return;
  g_hash_table_iter_init (&iter, work->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    if ((uint32_t)GPOINTER_TO_INT (count) != work->tasks)
      check->partial_gang_attempts++;
}

static void
check_work (struct gr_load_check *check, const struct work *work, GString *text)
{
  bool ran = work->started > 0 || work->ran > 0;

  if (work->outcomes & GR_LOAD_WRONG_ANSWER)
    report_violation (check, work, "received the response of another request",
                      text);
  if (work->outcomes == GR_LOAD_NOT_RUN && ran)
    report_violation (check, work, "was reported as not run, but ran", text);
  if ((work->outcomes & GR_LOAD_RAN) && !ran && check->targets_unread == 0
      && check->targets_read > 0)
    report_violation (check, work, "was reported as run, but did not run",
                      text);
  if (!work->idempotent && (work->started > 1 || work->ran > work->tasks))
    report_violation (check, work, "is not idempotent, but ran more than once",
                      text);
  count_partial_gangs (check, work);
}

uint32_t
gr_load_check_append_report (struct gr_load_check *check, GString *text)
{
  GHashTableIter iter;
  void *work;

  g_hash_table_iter_init (&iter, check->work_by_key);
  while (g_hash_table_iter_next (&iter, NULL, &work))
    check_work (check, work, text);
  g_string_append_printf (
      text,
      "checked %u keys against %u targets, %u targets unread, %u partial gang "
      "attempts, %u violations\n",
      g_hash_table_size (check->work_by_key), check->targets_read,
      check->targets_unread, check->partial_gang_attempts, check->violations);
  return check->violations;
}
