/* The data centres that the operator has evacuated, as far as items read from
 * the store show. Does no I/O. A change that is older than what is known of its
 * data centre is ignored, in whatever order reads and watches return. */
#pragma once

#include "common/counter.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gr_evacuation
{
  char *data_centre;
  bool evacuated;   /* false: it was, and is back in use */
  int64_t revision; /* of the request, or at which it was found to be gone */
  int64_t since_ms; /* while evacuated: time since which it is known */
  uint32_t read_number; /* of the last full read that returned it */
};

struct gr_evacuations;

struct gr_evacuations *gr_evacuations_create (void);
void gr_evacuations_destroy (struct gr_evacuations *evacuations);

/* Applies the request, or its deletion, that has this revision. Returns true if
 * the data centre is evacuated or restored by it. */
bool gr_evacuations_apply (struct gr_evacuations *evacuations,
                           const char *data_centre,
                           bool deleted,
                           int64_t revision,
                           int64_t now_ms);

/* Starts a full read of all requests; one that has not ended is abandoned and
 * has no further effect. The items that it returns are passed to
 * gr_evacuations_apply (). */
void gr_evacuations_begin_read (struct gr_evacuations *evacuations);
/* Ends a full read that returned every item. Requests that it did not return,
 * and that are not newer than as_of, the revision of the store at its first
 * page, are gone. Returns true if a data centre is restored by it. */
bool gr_evacuations_end_read (struct gr_evacuations *evacuations,
                              int64_t as_of);

/* Calls visit for each data centre that is evacuated or has been. */
void gr_evacuations_each (const struct gr_evacuations *evacuations,
                          void (*visit) (const struct gr_evacuation *row,
                                         void *context),
                          void *context);

/* Sets the gauges data_centres_evacuated and data_centre_evacuated_ms. If
 * enabled is false, no data centre counts as evacuated. */
void gr_evacuations_set_metrics (const struct gr_evacuations *evacuations,
                                 bool enabled,
                                 int64_t now_ms,
                                 struct gr_counters *counters);
