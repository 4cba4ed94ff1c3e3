/* Expected time at which a gang fits on the workers of a rack, from the
 * expected ends of what runs there. Private to steps/. */
#pragma once

#include "steps/tables.h"

struct availability
{
  int64_t wait_ms;    /* from now */
  double slowness;    /* of the slowest of the workers */
  GPtrArray *workers; /* struct worker; those on which the gang then fits */
};

/* Considers only workers up to this slowness that are not reserved for other
 * steps. Returns false if the gang would not fit although all runs that end by
 * themselves had ended. Unref availability->workers. */
bool gr_availability_find (struct gr_steps *steps,
                           struct step *step,
                           GPtrArray *workers,
                           double max_slowness,
                           struct availability *availability);
