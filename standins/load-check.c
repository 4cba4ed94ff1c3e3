#include "standins/load-check.h"

#include "http/json.h"

#include <string.h>

#define MAX_SHOWN 20

struct work
{
  char *key;
  bool idempotent;
  uint32_t tasks;
  unsigned told;
  uint32_t started;     /* starts of the request, or of the job's first task */
  uint32_t ran;         /* tasks of the job that were ever unthrottled */
  GHashTable *attempts; /* of a job: attempt -> tasks that ran */
};

struct gr_load_check
{
  GHashTable *works;
  uint32_t unread; /* targets that gave no answer */
  uint32_t read;
  uint32_t violations;
  uint32_t partial_gangs;
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

  check->works =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, work_free);
  return check;
}

void
gr_load_check_destroy (struct gr_load_check *check)
{
  if (check == NULL)
    return;
  g_hash_table_destroy (check->works);
  g_free (check);
}

void
gr_load_check_sent (struct gr_load_check *check,
                    const char *key,
                    bool idempotent,
                    uint32_t tasks)
{
  struct work *work = g_new0 (struct work, 1);

  work->key = g_strdup (key);
  work->idempotent = idempotent;
  work->tasks = tasks;
  g_hash_table_replace (check->works, work->key, work);
}

void
gr_load_check_told (struct gr_load_check *check,
                    const char *key,
                    enum gr_load_told told)
{
  struct work *work = g_hash_table_lookup (check->works, key);

  if (work != NULL)
    work->told |= told;
}

/* Executors know a request by ACCOUNT.KEY. */
static void
read_executor_key (JsonObject *keys,
                   const char *name,
                   JsonNode *node,
                   void *context)
{
  struct gr_load_check *check = context;
  const char *dot = strchr (name, '.');
  struct work *work;
  int64_t started = 0;

  (void)keys;
  work = dot ? g_hash_table_lookup (check->works, dot + 1) : NULL;
  if (work == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return;
  gr_json_get_int (json_node_get_object (node), "started", 0, INT32_MAX, 0,
                   &started);
  work->started += (uint32_t)started;
}

/* The specs of our jobs end in " job=KEY". Task ids end in ".ATTEMPT.INDEX". */
static void
read_worker_start (struct gr_load_check *check, JsonObject *start)
{
  const char *spec = gr_json_peek_string (start, "spec");
  const char *task = gr_json_peek_string (start, "task");
  const char *key = spec ? strstr (spec, "job=") : NULL;
  const char *dot = task ? strrchr (task, '.') : NULL;
  struct work *work = key ? g_hash_table_lookup (check->works, key + 4) : NULL;
  int64_t unthrottled_ms = -1;
  char *attempt;
  int count;

  if (work == NULL || dot == NULL
      || !gr_json_get_int (start, "unthrottled_ms", -1, INT64_MAX, -1,
                           &unthrottled_ms)
      || unthrottled_ms < 0)
    return;
  work->ran++;
  if (strcmp (dot, ".0") == 0)
    work->started++;
  if (work->attempts == NULL)
    work->attempts =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  attempt = g_strndup (task, (gsize)(dot - task));
  count = GPOINTER_TO_INT (g_hash_table_lookup (work->attempts, attempt));
  g_hash_table_replace (work->attempts, attempt, GINT_TO_POINTER (count + 1));
}

void
gr_load_check_read (struct gr_load_check *check, JsonObject *control)
{
  JsonObject *keys = NULL;
  JsonArray *starts = NULL;

  if (control == NULL || !gr_json_get_object (control, "keys", &keys)
      || !gr_json_get_array (control, "starts", &starts))
    {
      check->unread++;
      return;
    }
  check->read++;
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
violation (struct gr_load_check *check,
           const struct work *work,
           const char *what,
           GString *text)
{
  if (++check->violations <= MAX_SHOWN)
    g_string_append_printf (text, "violation: %s: %s (started %u)\n", work->key,
                            what, work->started);
}

static void
check_gangs (struct gr_load_check *check, const struct work *work)
{
  GHashTableIter iter;
  void *count;

  if (work->attempts == NULL)
    return;
  g_hash_table_iter_init (&iter, work->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    if ((uint32_t)GPOINTER_TO_INT (count) != work->tasks)
      check->partial_gangs++;
}

static void
check_work (struct gr_load_check *check, const struct work *work, GString *text)
{
  bool ran = work->started > 0 || work->ran > 0;

  if (work->told & GR_TOLD_WRONG)
    violation (check, work, "got another request's answer", text);
  if (work->told == GR_TOLD_NOT_RUN && ran)
    violation (check, work, "was answered \"not run\" and ran", text);
  if ((work->told & GR_TOLD_RAN) && !ran && check->unread == 0
      && check->read > 0)
    violation (check, work, "was answered and did not run", text);
  if (!work->idempotent && (work->started > 1 || work->ran > work->tasks))
    violation (check, work, "must run once and ran again", text);
  check_gangs (check, work);
}

uint32_t
gr_load_check_print (struct gr_load_check *check, GString *text)
{
  GHashTableIter iter;
  void *work;

  g_hash_table_iter_init (&iter, check->works);
  while (g_hash_table_iter_next (&iter, NULL, &work))
    check_work (check, work, text);
  g_string_append_printf (
      text,
      "checked %u keys against %u targets, %u targets unread, %u attempts of "
      "gangs in part, %u violations\n",
      g_hash_table_size (check->works), check->read, check->unread,
      check->partial_gangs, check->violations);
  return check->violations;
}
