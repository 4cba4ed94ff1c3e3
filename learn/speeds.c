#include "learn/speeds.h"

#include "learn/groups.h"

#include <glib.h>
#include <math.h>

/* Weight of all samples of a worker; older ones fade, so that the mean of a
 * worker that becomes half as fast is halfway there after eight runs. */
#define MAX_WEIGHT 12.0
/* Samples after which a worker is known; three, with some of them faded. */
#define KNOWN_SAMPLES 2.9
/* Workers that must be known before they can be uneven: this number, and this
 * share of those seen. With fewer, the deciles are single workers. */
#define MIN_KNOWN 8
#define MIN_KNOWN_SHARE 0.1
/* Standard deviation of the logarithm of a single sample, as measured;
 * docs/design/README.md, "Background". The noise observed counts if it is
 * larger, which happens when run times are predicted badly. */
#define SAMPLE_NOISE 0.35
/* Samples over which the observed noise is averaged: its error is then about
 * 2 %. The first ones count more, so that larger noise is noticed before the
 * first workers are known. */
#define NOISE_SAMPLES 1000.0
#define MIN_NOISE_SAMPLES 10.0
/* Limit of the logarithm of a sample (a factor of 7.4), so that one faulty
 * sample does not decide on a worker. */
#define MAX_SAMPLE_LOG 2.0
/* Distance between the first and the last decile of a normal distribution, and
 * the standard error of this distance for one sample, in standard deviations.
 */
#define DECILE_DISTANCE 2.563
#define DECILE_ERROR 2.28
/* Standard errors by which the distance must exceed that of noise alone: five
 * to become uneven, since the test is repeated with every sample, and none to
 * stay so. With four and one, workers of which a third was 30 % slower for a
 * time changed more than twice in 4 of 60 seeded runs. */
#define UNEVEN_ERRORS 5.0
#define EVEN_ERRORS 0.0
/* Smallest distances between the deciles, without noise, as logarithms: 15 % to
 * become uneven, and 8 % to stay so. */
#define UNEVEN_SPREAD 0.14
#define EVEN_SPREAD 0.08
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 4.0

struct worker
{
  char *name;
  int64_t incarnation_unix_ms;
  double weight;
  double mean; /* of the logarithm of the ratio */
  /* Results of gr_speeds_update (): */
  double location; /* mean, shrunk towards the median */
  double slowness;
};

struct gr_speeds
{
  GHashTable *workers; /* name -> struct worker */
  double sample_noise; /* variance of a single sample, as observed */
  double noise_weight; /* samples that it rests on */
  bool changed;        /* since the last update */
  bool uneven;
  struct gr_speeds_summary summary;
};

/* What the known workers show together. */
struct spread
{
  uint32_t n_seen;
  GPtrArray *known; /* ordered by mean, after spread_shrink () by location */
  double median;
  double distance;     /* between the deciles */
  double noise;        /* mean variance of the means */
  double true_var;     /* variance of the workers without noise */
  double shrunk_noise; /* mean variance of the locations by noise */
};

static void
worker_free (void *data)
{
  struct worker *worker = data;

  g_free (worker->name);
  g_free (worker);
}

struct gr_speeds *
gr_speeds_create (void)
{
  struct gr_speeds *speeds = g_new0 (struct gr_speeds, 1);

  speeds->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
  speeds->sample_noise = SAMPLE_NOISE * SAMPLE_NOISE;
  speeds->noise_weight = MIN_NOISE_SAMPLES;
  speeds->summary = (struct gr_speeds_summary){ 0, 1.0, 1.0 };
  return speeds;
}

void
gr_speeds_destroy (struct gr_speeds *speeds)
{
  if (speeds == NULL)
    return;
  g_hash_table_destroy (speeds->workers);
  g_free (speeds);
}

static struct worker *
worker_get (struct gr_speeds *speeds, const char *name)
{
  struct worker *worker = g_hash_table_lookup (speeds->workers, name);

  if (worker != NULL)
    return worker;
  worker = g_new0 (struct worker, 1);
  worker->name = g_strdup (name);
  worker->slowness = 1.0;
  g_hash_table_insert (speeds->workers, worker->name, worker);
  return worker;
}

/* Number of equal samples whose mean is as accurate as that of the worker. A
 * mean with exponentially fading weights that sum up to MAX_WEIGHT is as
 * accurate as that of nearly twice as many. */
static double
effective_samples (const struct worker *worker)
{
  return (2 - 1 / MAX_WEIGHT) * worker->weight
         / (2 - worker->weight / MAX_WEIGHT);
}

static double
mean_variance (const struct gr_speeds *speeds, const struct worker *worker)
{
  double sample = MAX (speeds->sample_noise, SAMPLE_NOISE * SAMPLE_NOISE);

  return sample / effective_samples (worker);
}

static bool
worker_is_known (const struct worker *worker)
{
  return worker->weight > 0 && effective_samples (worker) >= KNOWN_SAMPLES;
}

/* Learns the noise from the distance of a sample to the earlier ones. */
static void
noise_add (struct gr_speeds *speeds,
           const struct worker *worker,
           double distance,
           double weight)
{
  double expected = 1 + 1 / effective_samples (worker);

  speeds->noise_weight = MIN (speeds->noise_weight + weight, NOISE_SAMPLES);
  speeds->sample_noise +=
      weight / speeds->noise_weight
      * (distance * distance / expected - speeds->sample_noise);
}

/* Returns false if the sample is of an earlier incarnation. */
static bool
worker_set_incarnation (struct worker *worker, int64_t incarnation_unix_ms)
{
  if (incarnation_unix_ms == 0)
    return true;
  if (incarnation_unix_ms < worker->incarnation_unix_ms)
    return false;
  if (worker->incarnation_unix_ms != 0
      && incarnation_unix_ms > worker->incarnation_unix_ms)
    {
      worker->weight = 0;
      worker->mean = 0;
      worker->slowness = 1.0;
    }
  worker->incarnation_unix_ms = incarnation_unix_ms;
  return true;
}

void
gr_speeds_add (struct gr_speeds *speeds,
               const char *worker_name,
               int64_t incarnation_unix_ms,
               double ratio,
               double weight)
{
  struct worker *worker;
  double sample;

  if (!isfinite (ratio) || ratio <= 0 || !(weight > 0))
    return;
  weight = MIN (weight, 1);
  worker = worker_get (speeds, worker_name);
  if (!worker_set_incarnation (worker, incarnation_unix_ms))
    return;
  sample = CLAMP (log (ratio), -MAX_SAMPLE_LOG, MAX_SAMPLE_LOG);
  if (worker->weight > 0)
    noise_add (speeds, worker, sample - worker->mean, weight);
  worker->weight = worker->weight * (1 - weight / MAX_WEIGHT) + weight;
  worker->mean += weight / worker->weight * (sample - worker->mean);
  speeds->changed = true;
}

void
gr_speeds_forget (struct gr_speeds *speeds, const char *worker)
{
  if (g_hash_table_remove (speeds->workers, worker))
    speeds->changed = true;
}

static int
compare_means (const void *a, const void *b)
{
  const struct worker *left = *(const struct worker *const *)a;
  const struct worker *right = *(const struct worker *const *)b;

  return (left->mean > right->mean) - (left->mean < right->mean);
}

static int
compare_locations (const void *a, const void *b)
{
  const struct worker *left = *(const struct worker *const *)a;
  const struct worker *right = *(const struct worker *const *)b;

  return (left->location > right->location)
         - (left->location < right->location);
}

static struct worker *
at_quantile (const GPtrArray *workers, double quantile)
{
  return g_ptr_array_index (workers,
                            (uint32_t)lround (quantile * (workers->len - 1)));
}

static void
spread_measure (struct spread *spread, const struct gr_speeds *speeds)
{
  GHashTableIter iter;
  void *value;
  double deviation;

  *spread = (struct spread){ .known = g_ptr_array_new () };
  g_hash_table_iter_init (&iter, speeds->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker *worker = value;

      spread->n_seen++;
      worker->slowness = 1.0;
      if (!worker_is_known (worker))
        continue;
      g_ptr_array_add (spread->known, worker);
      spread->noise += mean_variance (speeds, worker);
    }
  if (spread->known->len == 0)
    return;
  spread->noise /= spread->known->len;
  g_ptr_array_sort (spread->known, compare_means);
  spread->median = at_quantile (spread->known, 0.5)->mean;
  spread->distance = at_quantile (spread->known, 0.9)->mean
                     - at_quantile (spread->known, 0.1)->mean;
  deviation = spread->distance / DECILE_DISTANCE;
  spread->true_var = MAX (deviation * deviation - spread->noise, 0);
}

/* Whether the workers are uneven; the limits are lower if they were before. */
static bool
spread_is_uneven (const struct spread *spread, bool before)
{
  double n = spread->known->len;
  double needed = MAX (MIN_KNOWN, MIN_KNOWN_SHARE * spread->n_seen);
  double errors = before ? EVEN_ERRORS : UNEVEN_ERRORS;
  double limit = (DECILE_DISTANCE + errors * DECILE_ERROR / sqrt (MAX (n, 1)))
                 * sqrt (spread->noise);

  if (n < (before ? needed / 2 : needed))
    return false;
  return spread->distance > limit
         && DECILE_DISTANCE * sqrt (spread->true_var)
                > (before ? EVEN_SPREAD : UNEVEN_SPREAD);
}

/* Moves each worker towards the median by its uncertainty. */
static void
spread_shrink (struct spread *spread, const struct gr_speeds *speeds)
{
  for (uint32_t i = 0; i < spread->known->len; i++)
    {
      struct worker *worker = g_ptr_array_index (spread->known, i);
      double noise = mean_variance (speeds, worker);
      double share = spread->true_var / (spread->true_var + noise);

      worker->location =
          spread->median + share * (worker->mean - spread->median);
      spread->shrunk_noise += share * share * noise / spread->known->len;
    }
  g_ptr_array_sort (spread->known, compare_locations);
}

/* Workers of nearly equal speed get the same slowness, so that noise does not
 * order them. */
static void
spread_group (const struct spread *spread)
{
  uint32_t n = spread->known->len;
  double *values = g_new0 (double, n);

  for (uint32_t i = 0; i < n; i++)
    {
      const struct worker *worker = g_ptr_array_index (spread->known, i);

      values[i] = worker->location;
    }
  gr_group_values (values, n, spread->shrunk_noise);
  for (uint32_t i = 0; i < n; i++)
    {
      struct worker *worker = g_ptr_array_index (spread->known, i);

      worker->slowness =
          CLAMP (exp (values[i] - values[n / 2]), MIN_SLOWNESS, MAX_SLOWNESS);
    }
  g_free (values);
}

/* Slowness of a known worker before grouping. */
static double
worker_deviation (const struct worker *worker, double median)
{
  return CLAMP (exp (worker->location - median), MIN_SLOWNESS, MAX_SLOWNESS);
}

/* The deciles of what decisions use or, while the workers are even and it is
 * 1.0, of what they would use without groups. */
static void
summary_set (struct gr_speeds *speeds, const struct spread *spread)
{
  const struct worker *fast;
  const struct worker *slow;

  speeds->summary = (struct gr_speeds_summary){ spread->known->len, 1.0, 1.0 };
  if (spread->known->len == 0)
    return;
  fast = at_quantile (spread->known, 0.1);
  slow = at_quantile (spread->known, 0.9);
  speeds->summary.fastest =
      speeds->uneven ? fast->slowness : worker_deviation (fast, spread->median);
  speeds->summary.slowest =
      speeds->uneven ? slow->slowness : worker_deviation (slow, spread->median);
}

bool
gr_speeds_update (struct gr_speeds *speeds)
{
  bool before = speeds->uneven;
  struct spread spread;

  if (!speeds->changed)
    return false;
  speeds->changed = false;
  spread_measure (&spread, speeds);
  speeds->uneven = spread_is_uneven (&spread, before);
  spread_shrink (&spread, speeds);
  if (speeds->uneven)
    spread_group (&spread);
  summary_set (speeds, &spread);
  g_ptr_array_free (spread.known, TRUE);
  return speeds->uneven != before;
}

bool
gr_speeds_uneven (const struct gr_speeds *speeds)
{
  return speeds->uneven;
}

double
gr_speeds_slowness (const struct gr_speeds *speeds,
                    const char *worker_name,
                    int64_t incarnation_unix_ms)
{
  const struct worker *worker =
      speeds->uneven ? g_hash_table_lookup (speeds->workers, worker_name)
                     : NULL;

  if (worker == NULL
      || (incarnation_unix_ms != 0 && worker->incarnation_unix_ms != 0
          && incarnation_unix_ms != worker->incarnation_unix_ms))
    return 1.0;
  return worker->slowness;
}

void
gr_speeds_summarize (const struct gr_speeds *speeds,
                     struct gr_speeds_summary *summary)
{
  *summary = speeds->summary;
}

void
gr_speeds_each (const struct gr_speeds *speeds,
                void (*visit) (const struct gr_speed_row *row, void *context),
                void *context)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, speeds->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct worker *worker = value;
      struct gr_speed_row row = {
        .worker = worker->name,
        .incarnation_unix_ms = worker->incarnation_unix_ms,
        .weight = worker->weight,
        .mean = worker->mean,
      };

      if (worker->weight > 0)
        visit (&row, context);
    }
}

bool
gr_speeds_restore (struct gr_speeds *speeds, const struct gr_speed_row *row)
{
  struct worker *worker;

  /* NaN fails the comparisons. */
  if (row->worker == NULL || row->worker[0] == '\0'
      || row->incarnation_unix_ms < 0
      || !(row->weight > 0 && row->weight <= MAX_WEIGHT)
      || !(fabs (row->mean) <= MAX_SAMPLE_LOG))
    return false;
  worker = worker_get (speeds, row->worker);
  worker->incarnation_unix_ms = row->incarnation_unix_ms;
  worker->weight = row->weight;
  worker->mean = row->mean;
  speeds->changed = true;
  return true;
}

void
gr_speeds_get_state (const struct gr_speeds *speeds,
                     struct gr_speeds_state *state)
{
  state->sample_noise = speeds->sample_noise;
  state->noise_weight = speeds->noise_weight;
  state->uneven = speeds->uneven;
}

bool
gr_speeds_restore_state (struct gr_speeds *speeds,
                         const struct gr_speeds_state *state)
{
  /* Two samples differ by twice the largest logarithm at most. NaN fails the
   * comparison. */
  if (!(state->sample_noise >= 0
        && state->sample_noise <= 4 * MAX_SAMPLE_LOG * MAX_SAMPLE_LOG
        && state->noise_weight >= MIN_NOISE_SAMPLES
        && state->noise_weight <= NOISE_SAMPLES))
    return false;
  speeds->sample_noise = state->sample_noise;
  speeds->noise_weight = state->noise_weight;
  speeds->uneven = state->uneven;
  speeds->changed = true;
  return true;
}
