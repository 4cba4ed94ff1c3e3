#include "common/deadlines.h"

/* A deadline that expires while the main loop is late by more than LATE_US is
 * postponed once by POSTPONE_US. Until then the loop reads responses that
 * arrived in time and are still unread. */
#define LATE_US 10000
#define POSTPONE_US 20000

struct gr_deadlines
{
  GSource *source;
  GHashTable *pending; /* struct gr_deadline */
  int64_t next_us;     /* ready time of the source; -1: none is set */
  bool dispatching;
  bool destroyed; /* by a callback; freed at the end of the dispatch */
};

static int64_t
earliest_us (const struct gr_deadlines *deadlines)
{
  int64_t next_us = -1;
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, deadlines->pending);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      int64_t at_us = ((struct gr_deadline *)key)->at_us;

      if (next_us < 0 || at_us < next_us)
        next_us = at_us;
    }
  return next_us;
}

static void
set_ready_time (struct gr_deadlines *deadlines, int64_t next_us)
{
  deadlines->next_us = next_us;
  g_source_set_ready_time (deadlines->source, next_us);
}

static GPtrArray *
collect_expired (struct gr_deadlines *deadlines, int64_t now_us)
{
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, deadlines->pending);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((struct gr_deadline *)key)->at_us <= now_us)
      g_ptr_array_add (expired, key);
  return expired;
}

static bool
postpone_if_late (struct gr_deadline *deadline, int64_t now_us)
{
  if (deadline->postponed || now_us - deadline->at_us < LATE_US)
    return false;
  deadline->postponed = true;
  deadline->at_us = now_us + POSTPONE_US;
  return true;
}

static void
free_deadlines (struct gr_deadlines *deadlines)
{
  g_source_unref (deadlines->source);
  g_hash_table_destroy (deadlines->pending);
  g_free (deadlines);
}

/* Calls on_expiry of all expired deadlines. Such a call may clear other expired
 * deadlines, which are then skipped. */
static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct gr_deadlines *deadlines = data;
  int64_t now_us = g_source_get_time (source);
  GPtrArray *expired = collect_expired (deadlines, now_us);

  (void)callback;
  deadlines->dispatching = true;
  for (guint i = 0; i < expired->len; i++)
    {
      struct gr_deadline *deadline = expired->pdata[i];

      if (!g_hash_table_contains (deadlines->pending, deadline)
          || postpone_if_late (deadline, now_us))
        continue;
      g_hash_table_remove (deadlines->pending, deadline);
      deadline->deadlines = NULL;
      deadline->on_expiry (deadline);
    }
  g_ptr_array_unref (expired);
  deadlines->dispatching = false;
  if (deadlines->destroyed)
    {
      free_deadlines (deadlines);
      return G_SOURCE_REMOVE;
    }
  set_ready_time (deadlines, earliest_us (deadlines));
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs functions = { .dispatch = dispatch };

/* Never called. GSource passes data to dispatch () only together with a
 * callback. */
static gboolean
unused_callback (gpointer data)
{
  (void)data;
  return G_SOURCE_CONTINUE;
}

struct gr_deadlines *
gr_deadlines_create (void)
{
  struct gr_deadlines *deadlines = g_new0 (struct gr_deadlines, 1);

  deadlines->pending = g_hash_table_new (NULL, NULL);
  deadlines->source = g_source_new (&functions, sizeof (GSource));
  g_source_set_callback (deadlines->source, unused_callback, deadlines, NULL);
  set_ready_time (deadlines, -1);
  g_source_attach (deadlines->source, NULL);
  return deadlines;
}

void
gr_deadlines_destroy (struct gr_deadlines *deadlines)
{
  if (deadlines == NULL)
    return;
  g_assert (g_hash_table_size (deadlines->pending) == 0);
  g_source_destroy (deadlines->source);
  deadlines->destroyed = true;
  if (!deadlines->dispatching)
    free_deadlines (deadlines);
}

void
gr_deadline_set (struct gr_deadlines *deadlines,
                 struct gr_deadline *deadline,
                 uint32_t after_ms,
                 void (*on_expiry) (struct gr_deadline *deadline))
{
  g_assert (deadline->deadlines == NULL);
  deadline->deadlines = deadlines;
  deadline->on_expiry = on_expiry;
  deadline->postponed = false;
  deadline->at_us = g_get_monotonic_time () + (int64_t)after_ms * 1000;
  g_hash_table_add (deadlines->pending, deadline);
  if (deadlines->next_us < 0 || deadline->at_us < deadlines->next_us)
    set_ready_time (deadlines, deadline->at_us);
}

void
gr_deadline_clear (struct gr_deadline *deadline)
{
  if (deadline->deadlines == NULL)
    return;
  g_hash_table_remove (deadline->deadlines->pending, deadline);
  deadline->deadlines = NULL;
}
