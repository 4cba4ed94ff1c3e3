#include "tests/soak-runs.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Run numbers of an epoch begin at (epoch - 1) x this number + 1. */
#define RUNS_PER_EPOCH 1000

struct file
{
  char *path;
  uint32_t zone;    /* of the worker */
  int64_t ended_us; /* when its process was killed; 0: it was not */
};

struct run
{
  char *task;
  char *group;  /* the step of a gang, else the task */
  char *worker; /* name of its file */
  uint32_t zone;
  int64_t number;
  int64_t start_us;
  int64_t end_us; /* INT64_MAX: it goes on */
  bool done;
  bool noted; /* the end was acknowledged while the lease was valid */
};

struct soak_runs
{
  GPtrArray *files;  /* struct file */
  GPtrArray *runs;   /* struct run, of the last check */
  GPtrArray *owners; /* text by epoch */
  char *shortened;   /* the last event line of a lease; NULL: none */
};

static void
file_free (void *data)
{
  struct file *file = data;

  g_free (file->path);
  g_free (file);
}

static void
run_free (void *data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run->group);
  g_free (run->worker);
  g_free (run);
}

struct soak_runs *
soak_runs_create (void)
{
  struct soak_runs *runs = g_new0 (struct soak_runs, 1);

  runs->files = g_ptr_array_new_with_free_func (file_free);
  runs->runs = g_ptr_array_new_with_free_func (run_free);
  runs->owners = g_ptr_array_new_with_free_func (g_free);
  return runs;
}

void
soak_runs_destroy (struct soak_runs *runs)
{
  g_ptr_array_unref (runs->files);
  g_ptr_array_unref (runs->runs);
  g_ptr_array_unref (runs->owners);
  g_free (runs->shortened);
  g_free (runs);
}

void
soak_runs_add_file (struct soak_runs *runs, const char *path, uint32_t zone)
{
  struct file *file = g_new0 (struct file, 1);

  file->path = g_strdup (path);
  file->zone = zone;
  g_ptr_array_add (runs->files, file);
}

void
soak_runs_set_owner (struct soak_runs *runs,
                     uint32_t epoch,
                     uint32_t instance,
                     uint32_t zone)
{
  if (epoch >= runs->owners->len)
    g_ptr_array_set_size (runs->owners, (gint)epoch + 1);
  if (runs->owners->pdata[epoch] == NULL)
    runs->owners->pdata[epoch] =
        g_strdup_printf ("i%u in dc%u", instance, zone + 1);
}

void
soak_runs_end_file (struct soak_runs *runs,
                    uint32_t number,
                    uint32_t life,
                    int64_t at_us)
{
  g_autofree char *name = g_strdup_printf ("/w%u-%u.events", number, life);

  for (guint i = 0; i < runs->files->len; i++)
    {
      struct file *file = runs->files->pdata[i];

      if (g_str_has_suffix (file->path, name) && file->ended_us == 0)
        file->ended_us = at_us;
    }
}

static struct run *
find_run (GPtrArray *runs, guint first, const char *task, int64_t number)
{
  for (guint i = runs->len; i-- > first;)
    {
      struct run *run = runs->pdata[i];

      if (run->number == number && g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

/* An end that is listed when the lease lapses is not one that counts as
 * acknowledged later. first: of the file's runs. */
static void
forget_unacknowledged (GPtrArray *runs, guint first)
{
  for (guint i = first; i < runs->len; i++)
    {
      struct run *run = runs->pdata[i];

      if (!run->noted)
        run->done = false;
    }
}

static void
read_line (GPtrArray *runs,
           guint first,
           const struct file *file,
           const char *line)
{
  char event[16];
  char task[64];
  char how[16];
  int64_t at_us;
  int64_t number;
  struct run *run;

  if (sscanf (line, "%15s %" G_GINT64_FORMAT " %63s %" G_GINT64_FORMAT " %15s",
              event, &at_us, task, &number, how)
      != 5)
    return;
  if (g_str_equal (event, "start"))
    {
      run = g_new0 (struct run, 1);
      run->task = g_strdup (task);
      run->worker = g_path_get_basename (file->path);
      run->zone = file->zone;
      run->number = number;
      run->start_us = at_us;
      run->end_us = INT64_MAX;
      g_ptr_array_add (runs, run);
      return;
    }
  if (g_str_equal (event, "lapse"))
    forget_unacknowledged (runs, first);
  if (g_str_equal (event, "left"))
    for (guint i = first; i < runs->len; i++)
      {
        run = runs->pdata[i];
        run->end_us = MIN (run->end_us, at_us);
      }
  run = find_run (runs, first, task, number);
  if (run == NULL)
    return;
  if (g_str_equal (event, "end"))
    {
      run->end_us = at_us;
      run->done = g_str_equal (how, "done");
    }
  else if (g_str_equal (event, "noted"))
    run->noted = run->done;
}

static void
read_file (struct soak_runs *soak, const struct file *file)
{
  GPtrArray *runs = soak->runs;
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  guint first = runs->len;

  if (!g_file_get_contents (file->path, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      read_line (runs, first, file, *line);
      if (!g_str_has_prefix (*line, "shortened "))
        continue;
      g_free (soak->shortened);
      soak->shortened = g_strdup_printf ("%s: %s", file->path, *line);
    }
  for (guint i = first; file->ended_us != 0 && i < runs->len; i++)
    {
      struct run *run = runs->pdata[i];

      run->end_us = MIN (run->end_us, MAX (file->ended_us, run->start_us));
    }
}

static gint
compare_runs (gconstpointer left, gconstpointer right)
{
  const struct run *a = *(struct run *const *)left;
  const struct run *b = *(struct run *const *)right;
  int order = strcmp (a->group, b->group);

  if (order != 0)
    return order;
  return a->start_us < b->start_us ? -1 : a->start_us > b->start_us;
}

static void
set_groups (struct soak_runs *runs, GHashTable *gangs)
{
  for (guint i = 0; i < runs->runs->len; i++)
    {
      struct run *run = runs->runs->pdata[i];
      const char *dot = strrchr (run->task, '.');

      run->group = dot != NULL ? g_strndup (run->task, (gsize)(dot - run->task))
                               : g_strdup (run->task);
      if (g_hash_table_contains (gangs, run->group))
        continue;
      g_free (run->group);
      run->group = g_strdup (run->task);
    }
}

static char *
describe_run (const struct soak_runs *runs, const struct run *run)
{
  guint epoch = (guint)((run->number - 1) / RUNS_PER_EPOCH) + 1;
  const char *owner =
      epoch < runs->owners->len ? runs->owners->pdata[epoch] : NULL;
  g_autofree char *end =
      run->end_us == INT64_MAX
          ? g_strdup ("now")
          : g_strdup_printf ("%.3f s", (double)run->end_us / 1e6);

  return g_strdup_printf ("run %" G_GINT64_FORMAT
                          " of %s on %s in dc%u (owner %s) from %.3f s to %s%s",
                          run->number, run->task, run->worker, run->zone + 1,
                          owner ? owner : "unknown",
                          (double)run->start_us / 1e6, end,
                          run->done ? ", done" : "");
}

static char *
describe (const struct soak_runs *runs,
          const char *rule,
          const struct run *former,
          const struct run *run)
{
  g_autofree char *first = describe_run (runs, former);
  g_autofree char *second = describe_run (runs, run);

  return g_strdup_printf ("%s:\n  %s\n  %s\n ", rule, first, second);
}

/* rows: the runs of one task, or of one gang, by the time of their start. */
static char *
check_group (const struct soak_runs *runs, struct run **rows, guint n)
{
  for (guint i = 1; i < n; i++)
    for (guint k = 0; k < i; k++)
      {
        bool same_task = g_str_equal (rows[k]->task, rows[i]->task);

        /* Members of one run of a gang. */
        if (!same_task && rows[k]->number == rows[i]->number)
          continue;
        if (rows[k]->end_us > rows[i]->start_us)
          return describe (
              runs, same_task ? "two runs at once" : "two runs of a gang",
              rows[k], rows[i]);
        if (rows[k]->done && rows[k]->noted)
          return describe (runs, "started after an end that was acknowledged",
                           rows[k], rows[i]);
      }
  return NULL;
}

static bool
is_rejected (const char *task, const GPtrArray *rejected)
{
  for (guint i = 0; i < rejected->len; i++)
    if (g_str_has_prefix (task, rejected->pdata[i]))
      return true;
  return false;
}

char *
soak_runs_check (struct soak_runs *runs,
                 const GPtrArray *rejected,
                 GHashTable *gangs)
{
  struct run **rows;
  guint first = 0;

  g_ptr_array_set_size (runs->runs, 0);
  for (guint i = 0; i < runs->files->len; i++)
    read_file (runs, runs->files->pdata[i]);
  set_groups (runs, gangs);
  g_ptr_array_sort (runs->runs, compare_runs);
  rows = (struct run **)runs->runs->pdata;
  for (guint i = 1; i <= runs->runs->len; i++)
    {
      char *violation;

      if (i < runs->runs->len
          && g_str_equal (rows[i]->group, rows[first]->group))
        continue;
      violation = check_group (runs, rows + first, i - first);
      if (violation != NULL)
        return violation;
      if (is_rejected (rows[first]->task, rejected))
        return g_strdup_printf ("a rejected job runs: %s", rows[first]->task);
      first = i;
    }
  /* No owner asks for such a lease, so the call was meant for another clock. */
  if (runs->shortened != NULL)
    return g_strdup_printf ("a lease was too long: %s", runs->shortened);
  return NULL;
}

uint32_t
soak_runs_count (const struct soak_runs *runs)
{
  return runs->runs->len;
}

uint32_t
soak_runs_tasks (const struct soak_runs *runs)
{
  g_autoptr (GHashTable) tasks = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < runs->runs->len; i++)
    g_hash_table_add (tasks, ((struct run *)runs->runs->pdata[i])->task);
  return g_hash_table_size (tasks);
}
