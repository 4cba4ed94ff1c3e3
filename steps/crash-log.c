#include "steps/crash-log.h"

#include <glib.h>

struct crash
{
  char *worker;
  char **jobs;
  enum gr_crash_suspicion suspicion;
  bool restarted;
  int64_t at_ms;
};

struct gr_crash_log
{
  GPtrArray *crashes; /* struct crash, oldest first */
};

static void
crash_free (void *data)
{
  struct crash *crash = data;

  g_free (crash->worker);
  g_strfreev (crash->jobs);
  g_free (crash);
}

struct gr_crash_log *
gr_crash_log_create (void)
{
  struct gr_crash_log *log = g_new0 (struct gr_crash_log, 1);

  log->crashes = g_ptr_array_new_with_free_func (crash_free);
  return log;
}

void
gr_crash_log_destroy (struct gr_crash_log *log)
{
  if (log == NULL)
    return;
  g_ptr_array_unref (log->crashes);
  g_free (log);
}

void
gr_crash_log_add (struct gr_crash_log *log,
                  const char *worker,
                  const char *const *jobs,
                  enum gr_crash_suspicion suspicion,
                  bool restarted,
                  int64_t at_ms)
{
  struct crash *crash = g_new0 (struct crash, 1);

  crash->worker = g_strdup (worker);
  crash->jobs = g_strdupv ((char **)jobs);
  crash->suspicion = suspicion;
  crash->restarted = restarted;
  crash->at_ms = at_ms;
  g_ptr_array_add (log->crashes, crash);
}

void
gr_crash_log_remove (struct gr_crash_log *log,
                     const char *worker,
                     int64_t at_ms)
{
  for (guint i = log->crashes->len; i-- > 0;)
    {
      const struct crash *crash = log->crashes->pdata[i];

      if (crash->at_ms == at_ms && g_str_equal (crash->worker, worker))
        g_ptr_array_remove_index (log->crashes, i);
    }
}

struct gr_crash_context
gr_crash_log_context (const struct gr_crash_log *log,
                      const char *worker,
                      const char *job,
                      bool restarted,
                      int64_t from_ms,
                      int64_t to_ms)
{
  struct gr_crash_context context = { 0 };

  for (guint i = 0;
       i < log->crashes->len && context.unsuspected < GR_CRASH_MAX_UNSUSPECTED;
       i++)
    {
      const struct crash *crash = log->crashes->pdata[i];

      if (crash->at_ms < from_ms || crash->at_ms > to_ms
          || (crash->restarted && !restarted)
          || g_str_equal (crash->worker, worker)
          || g_strv_contains ((const char *const *)crash->jobs, job))
        continue;
      context.others++;
      if (crash->suspicion == GR_CRASH_UNSUSPECTED)
        context.unsuspected++;
      else if (crash->suspicion == GR_CRASH_NEW_RUN)
        context.new_runs++;
    }
  return context;
}

void
gr_crash_log_forget (struct gr_crash_log *log, int64_t before_ms)
{
  guint n = 0;

  while (n < log->crashes->len
         && ((const struct crash *)log->crashes->pdata[n])->at_ms < before_ms)
    n++;
  if (n > 0)
    g_ptr_array_remove_range (log->crashes, 0, n);
}
