#include "http/deadlines.h"

struct gr_deadlines
{
  GSource *source;
  GHashTable *set; /* struct gr_deadline */
  int64_t next_us; /* ready time of the source; -1: none */
};

static int64_t
earliest (const struct gr_deadlines *deadlines)
{
  int64_t next_us = -1;
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, deadlines->set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      int64_t at_us = ((struct gr_deadline *)key)->at_us;

      if (next_us < 0 || at_us < next_us)
        next_us = at_us;
    }
  return next_us;
}

static void
set_ready (struct gr_deadlines *deadlines, int64_t next_us)
{
  deadlines->next_us = next_us;
  g_source_set_ready_time (deadlines->source, next_us);
}

static GPtrArray *
take_passed (struct gr_deadlines *deadlines, int64_t now_us)
{
  GPtrArray *passed = g_ptr_array_new ();
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, deadlines->set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((struct gr_deadline *)key)->at_us <= now_us)
      g_ptr_array_add (passed, key);
  return passed;
}

/* A deadline that another one's function clears is not called. */
static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct gr_deadlines *deadlines = data;
  GPtrArray *passed = take_passed (deadlines, g_source_get_time (source));

  (void)callback;
  for (guint i = 0; i < passed->len; i++)
    {
      struct gr_deadline *deadline = passed->pdata[i];

      if (!g_hash_table_remove (deadlines->set, deadline))
        continue;
      deadline->deadlines = NULL;
      deadline->passed (deadline);
    }
  g_ptr_array_unref (passed);
  set_ready (deadlines, earliest (deadlines));
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs functions = { .dispatch = dispatch };

static gboolean
ignore (gpointer data)
{
  (void)data;
  return G_SOURCE_CONTINUE;
}

struct gr_deadlines *
gr_deadlines_create (void)
{
  struct gr_deadlines *deadlines = g_new0 (struct gr_deadlines, 1);

  deadlines->set = g_hash_table_new (NULL, NULL);
  deadlines->source = g_source_new (&functions, sizeof (GSource));
  g_source_set_callback (deadlines->source, ignore, deadlines, NULL);
  set_ready (deadlines, -1);
  g_source_attach (deadlines->source, NULL);
  return deadlines;
}

void
gr_deadlines_destroy (struct gr_deadlines *deadlines)
{
  if (deadlines == NULL)
    return;
  g_assert (g_hash_table_size (deadlines->set) == 0);
  g_source_destroy (deadlines->source);
  g_source_unref (deadlines->source);
  g_hash_table_destroy (deadlines->set);
  g_free (deadlines);
}

void
gr_deadline_set (struct gr_deadlines *deadlines,
                 struct gr_deadline *deadline,
                 uint32_t after_ms,
                 void (*passed) (struct gr_deadline *deadline))
{
  g_assert (deadline->deadlines == NULL);
  deadline->deadlines = deadlines;
  deadline->passed = passed;
  deadline->at_us = g_get_monotonic_time () + (int64_t)after_ms * 1000;
  g_hash_table_add (deadlines->set, deadline);
  if (deadlines->next_us < 0 || deadline->at_us < deadlines->next_us)
    set_ready (deadlines, deadline->at_us);
}

void
gr_deadline_clear (struct gr_deadline *deadline)
{
  if (deadline->deadlines == NULL)
    return;
  g_hash_table_remove (deadline->deadlines->set, deadline);
  deadline->deadlines = NULL;
}
