#include "learn/speeds.h"

#include <glib.h>

struct gr_speeds
{
  bool uneven;
};

struct gr_speeds *
gr_speeds_create (void)
{
  return g_new0 (struct gr_speeds, 1);
}

void
gr_speeds_destroy (struct gr_speeds *speeds)
{
  g_free (speeds);
}

void
gr_speeds_add (struct gr_speeds *speeds,
               const char *worker,
               int64_t incarnation_unix_ms,
               double ratio,
               double weight)
{
  (void)speeds;
  (void)worker;
  (void)incarnation_unix_ms;
  (void)ratio;
  (void)weight;
}

void
gr_speeds_forget (struct gr_speeds *speeds, const char *worker)
{
  (void)speeds;
  (void)worker;
}

bool
gr_speeds_update (struct gr_speeds *speeds)
{
  (void)speeds;
  return false;
}

bool
gr_speeds_uneven (const struct gr_speeds *speeds)
{
  return speeds->uneven;
}

double
gr_speeds_slowness (const struct gr_speeds *speeds,
                    const char *worker,
                    int64_t incarnation_unix_ms)
{
  (void)speeds;
  (void)worker;
  (void)incarnation_unix_ms;
  return 1.0;
}

void
gr_speeds_summarize (const struct gr_speeds *speeds,
                     struct gr_speeds_summary *summary)
{
  (void)speeds;
  *summary = (struct gr_speeds_summary){ 0, 1.0, 1.0 };
}

void
gr_speeds_each (const struct gr_speeds *speeds,
                void (*visit) (const struct gr_speed_row *row, void *context),
                void *context)
{
  (void)speeds;
  (void)visit;
  (void)context;
}

bool
gr_speeds_restore (struct gr_speeds *speeds, const struct gr_speed_row *row)
{
  (void)speeds;
  (void)row;
  return false;
}
