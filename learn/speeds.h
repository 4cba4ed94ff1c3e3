/* Speeds of workers relative to their peers, learned from finished runs. Pure:
 * no I/O and no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_speeds;

struct gr_speeds *gr_speeds_create (void);
void gr_speeds_destroy (struct gr_speeds *speeds);

/* Adds a sample: a run on the worker took ratio times as long as it would on a
 * typical worker. Samples of an earlier incarnation (Unix ms; 0: unknown) are
 * discarded. weight is 0 to 1; 1 is a run that was not part of a gang. Ratios
 * that are not finite or not positive are ignored. */
void gr_speeds_add (struct gr_speeds *speeds,
                    const char *worker,
                    int64_t incarnation_unix_ms,
                    double ratio,
                    double weight);
/* Discards what is known of a worker. */
void gr_speeds_forget (struct gr_speeds *speeds, const char *worker);

/* Updates the classification of the workers; call it once per scheduling pass.
 * Does nothing unless samples were added. Returns true if workers have become
 * uneven or even. */
bool gr_speeds_update (struct gr_speeds *speeds);

/* True if the known workers differ by clearly more than the noise of their
 * samples. */
bool gr_speeds_uneven (const struct gr_speeds *speeds);

/* Time that a run takes on the worker as a multiple of its time on a typical
 * worker (the median of the known ones). 1.0 if the workers are even, or the
 * worker or this incarnation of it is not known. */
double gr_speeds_slowness (const struct gr_speeds *speeds,
                           const char *worker,
                           int64_t incarnation_unix_ms);

struct gr_speeds_summary
{
  uint32_t known; /* workers with enough samples */
  double fastest; /* slowness at the first decile of the known ones */
  double slowest; /* at the last decile */
};
void gr_speeds_summarize (const struct gr_speeds *speeds,
                          struct gr_speeds_summary *summary);

/* A worker as it is stored. */
struct gr_speed_row
{
  const char *worker;
  int64_t incarnation_unix_ms;
  double weight;
  double mean; /* natural logarithm of the ratio */
};

void gr_speeds_each (const struct gr_speeds *speeds,
                     void (*visit) (const struct gr_speed_row *row,
                                    void *context),
                     void *context);
/* Sets what is known of a worker. Returns false, and changes nothing, if a
 * value is not finite or out of range. */
bool gr_speeds_restore (struct gr_speeds *speeds,
                        const struct gr_speed_row *row);

/* What is stored of all workers together: a successor that lacked it would
 * group the same workers differently. */
struct gr_speeds_state
{
  double sample_noise; /* variance of the logarithm of a single sample */
  double noise_weight; /* samples that the noise rests on */
  bool uneven;
};

void gr_speeds_get_state (const struct gr_speeds *speeds,
                          struct gr_speeds_state *state);
/* Returns false, and changes nothing, if the noise or its weight is not
 * finite or out of range. */
bool gr_speeds_restore_state (struct gr_speeds *speeds,
                              const struct gr_speeds_state *state);
