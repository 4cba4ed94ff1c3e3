#include "learn/run-times.h"

#include <glib.h>
#include <math.h>

/* Weight of all samples of a key, in samples; older ones fade. The histograms
 * that this model replaces were halved at 256 as well. */
#define MAX_WEIGHT 256.0
/* Samples below which the wider key decides; three, with some of them faded. */
#define MIN_WEIGHT 2.5
/* Samples that the wider key counts for. */
#define PRIOR_WEIGHT 1.0
/* Sum of squares of the logarithms of the estimates that slope 1 counts for:
 * one sample that is a factor of 1.65 away from the mean. */
#define PRIOR_SLOPE 0.25
/* Standard deviation of the logarithm of run times with equal estimates, as
 * measured; docs/design/README.md, "Background". */
#define PRIOR_NOISE 0.35
/* Samples that the noise of the wider key counts for. */
#define NOISE_WEIGHT 4.0
/* Standard errors by which a mean must differ before it is believed. With
 * three, predictions for accurate estimates moved in 4 of 20 seeded runs of 500
 * samples, since every prediction repeats the test. */
#define SIGNIFICANT_ERRORS 4.0
/* Logarithm of the smallest correction: 10 %, below which an order of work by
 * run time has no value against the noise. */
#define MIN_CORRECTION 0.1
/* Range of quantiles; further out, the normal distribution is not supported by
 * the number of samples. */
#define MIN_QUANTILE 0.001
/* Times above this value (31 years) count as this value. */
#define MAX_TIME_MS 1000000000000LL
#define MAX_LOG_TIME 27.7 /* logarithm of MAX_TIME_MS, rounded up */
/* Weighted mean values of x, the logarithm of the estimate, and y, that of the
 * time. */
struct moments
{
  double weight;
  double mean_x;
  double mean_y;
  double var_x;
  double cov;
  double var_y;
};

struct model
{
  char *key;
  struct moments moments;
  GList link; /* in gr_run_times.recent */
};

struct gr_run_times
{
  uint32_t max_keys;
  struct moments all;
  GHashTable *models; /* key -> struct model */
  GQueue recent;      /* models, least recently used first */
};

/* What is believed of a key: log (time) = log (estimate) + offset
 * + (slope - 1) * (log (estimate) - centre), with variance noise. */
struct belief
{
  double offset;
  double slope;
  double centre;
  double noise;
};

static void
model_free (void *data)
{
  struct model *model = data;

  g_free (model->key);
  g_free (model);
}

struct gr_run_times *
gr_run_times_create (uint32_t max_keys)
{
  struct gr_run_times *times = g_new0 (struct gr_run_times, 1);

  times->max_keys = max_keys;
  times->models =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, model_free);
  g_queue_init (&times->recent);
  return times;
}

void
gr_run_times_destroy (struct gr_run_times *times)
{
  if (times == NULL)
    return;
  g_hash_table_destroy (times->models);
  g_free (times);
}

/* Returns the model of the key as the most recently used one; creates it, and
 * evicts another one for it, if necessary. NULL if no keys are kept. */
static struct model *
model_use (struct gr_run_times *times, const char *key)
{
  struct model *model = g_hash_table_lookup (times->models, key);

  if (times->max_keys == 0)
    return NULL;
  if (model != NULL)
    g_queue_unlink (&times->recent, &model->link);
  else
    {
      if (times->recent.length >= times->max_keys)
        {
          struct model *oldest = g_queue_pop_head_link (&times->recent)->data;

          g_hash_table_remove (times->models, oldest->key);
        }
      model = g_new0 (struct model, 1);
      model->key = g_strdup (key);
      model->link.data = model;
      g_hash_table_insert (times->models, model->key, model);
    }
  g_queue_push_tail_link (&times->recent, &model->link);
  return model;
}

/* Weighted incremental mean and variance (T. Finch, "Incremental calculation
 * of weighted mean and variance", 2009). */
static void
moments_add (struct moments *m, double x, double y)
{
  double dx = x - m->mean_x;
  double dy = y - m->mean_y;
  double share;

  m->weight = m->weight * (1 - 1 / MAX_WEIGHT) + 1;
  share = 1 / m->weight;
  m->mean_x += share * dx;
  m->mean_y += share * dy;
  m->var_x = (1 - share) * (m->var_x + share * dx * dx);
  m->cov = (1 - share) * (m->cov + share * dx * dy);
  m->var_y = (1 - share) * (m->var_y + share * dy * dy);
}

static double
log_ms (int64_t time_ms)
{
  return log ((double)CLAMP (time_ms, 1, MAX_TIME_MS));
}

void
gr_run_times_add (struct gr_run_times *times,
                  const struct gr_run_time_keys *keys,
                  int64_t estimate_ms,
                  int64_t ran_ms)
{
  double x = log_ms (estimate_ms);
  double y = log_ms (ran_ms);

  moments_add (&times->all, x, y);
  for (size_t i = G_N_ELEMENTS (keys->keys); i-- > 0;)
    if (keys->keys[i] != NULL)
      {
        struct model *model = model_use (times, keys->keys[i]);

        if (model != NULL)
          moments_add (&model->moments, x, y);
      }
}

/* Slope of the regression, shrunk towards 1 and limited to 0 to 1. */
static double
fitted_slope (const struct moments *m)
{
  return CLAMP ((m->weight * m->cov + PRIOR_SLOPE)
                    / (m->weight * m->var_x + PRIOR_SLOPE),
                0, 1);
}

static double
residual_variance (const struct moments *m, double slope)
{
  return MAX (m->var_y - 2 * slope * m->cov + slope * slope * m->var_x, 0);
}

static double
pooled_noise (const struct moments *m, double slope, double wider_noise)
{
  return (m->weight * residual_variance (m, slope) + NOISE_WEIGHT * wider_noise)
         / (m->weight + NOISE_WEIGHT);
}

/* Offset that the samples do not contradict, by preference: none if it is the
 * nearer one, that of the wider key, that of the samples. */
static double
chosen_offset (const struct moments *m, double wider, double limit)
{
  double own = m->mean_y - m->mean_x;

  if (fabs (own) <= limit && fabs (own) <= fabs (own - wider))
    return 0;
  if (fabs (own - wider) <= limit)
    return wider;
  return (m->weight * own + PRIOR_WEIGHT * wider) / (m->weight + PRIOR_WEIGHT);
}

/* Narrows what is believed of the wider key by the samples of a key. */
static void
belief_narrow (struct belief *belief, const struct moments *m)
{
  double slope;
  double noise;
  double limit;
  double wider = belief->offset;

  belief->slope = 1;
  belief->centre = m->mean_x;
  if (m->weight < MIN_WEIGHT)
    return;
  slope = fitted_slope (m);
  /* The variance of few samples is often too small by chance. */
  noise =
      MAX (pooled_noise (m, slope, belief->noise), PRIOR_NOISE * PRIOR_NOISE);
  limit = MAX (SIGNIFICANT_ERRORS * sqrt (noise / m->weight), MIN_CORRECTION);
  /* The error of a slope, times the deviation of the estimates, is that of the
   * mean. */
  if ((1 - slope) * sqrt (m->var_x) > limit)
    belief->slope = slope;
  /* An offset of zero or of the wider key has no meaning without slope 1. */
  if (belief->slope < 1)
    belief->offset =
        (m->weight * (m->mean_y - m->mean_x) + PRIOR_WEIGHT * wider)
        / (m->weight + PRIOR_WEIGHT);
  else
    belief->offset = chosen_offset (m, wider, limit);
  belief->noise = pooled_noise (m, belief->slope, belief->noise);
}

/* Quantile of the standard normal distribution (Abramowitz and Stegun, formula
 * 26.2.23; error below 0.00045). */
static double
normal_quantile (double quantile)
{
  double q = CLAMP (quantile, MIN_QUANTILE, 1 - MIN_QUANTILE);
  double t = sqrt (-2 * log (MIN (q, 1 - q)));
  double z;

  if (q == 0.5)
    return 0;
  z = t
      - (2.515517 + t * (0.802853 + t * 0.010328))
            / (1 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
  return q < 0.5 ? -z : z;
}

int64_t
gr_run_times_expect (const struct gr_run_times *times,
                     const struct gr_run_time_keys *keys,
                     int64_t estimate_ms,
                     double quantile)
{
  struct belief belief = { .slope = 1, .noise = PRIOR_NOISE * PRIOR_NOISE };
  double correction;
  double expected;

  if (times->all.weight <= 0)
    return MAX (estimate_ms, 1);
  belief_narrow (&belief, &times->all);
  for (size_t i = G_N_ELEMENTS (keys->keys); i-- > 0;)
    {
      const struct model *model =
          keys->keys[i] != NULL
              ? g_hash_table_lookup (times->models, keys->keys[i])
              : NULL;

      if (keys->keys[i] != NULL)
        belief.slope = 1;
      if (model != NULL)
        belief_narrow (&belief, &model->moments);
    }
  correction = belief.offset
               + (belief.slope - 1) * (log_ms (estimate_ms) - belief.centre)
               + normal_quantile (quantile) * sqrt (belief.noise);
  expected = (double)MAX (estimate_ms, 1) * exp (correction);
  return llround (CLAMP (expected, 1.0, (double)MAX_TIME_MS));
}

static void
visit_moments (const char *key,
               const struct moments *m,
               void (*visit) (const struct gr_run_time_row *row, void *context),
               void *context)
{
  struct gr_run_time_row row = {
    .key = key,
    .weight = m->weight,
    .mean_estimate = m->mean_x,
    .mean_time = m->mean_y,
    .var_estimate = m->var_x,
    .covariance = m->cov,
    .var_time = m->var_y,
  };

  if (m->weight > 0)
    visit (&row, context);
}

void
gr_run_times_each (const struct gr_run_times *times,
                   void (*visit) (const struct gr_run_time_row *row,
                                  void *context),
                   void *context)
{
  visit_moments ("", &times->all, visit, context);
  for (GList *link = times->recent.head; link != NULL; link = link->next)
    {
      const struct model *model = link->data;

      visit_moments (model->key, &model->moments, visit, context);
    }
}

/* NaN fails the comparison. */
static bool
in_range (double value, double from, double to)
{
  return value >= from && value <= to;
}

static bool
row_is_valid (const struct gr_run_time_row *row)
{
  /* A variance cannot exceed the square of half the range. */
  double max_var = MAX_LOG_TIME * MAX_LOG_TIME / 4;
  /* Rounding can make a perfect correlation appear slightly larger than 1. */
  double max_cov = sqrt (MAX (row->var_estimate * row->var_time, 0)) + 1e-6;

  return row->key != NULL && row->weight > 0
         && in_range (row->weight, 0, MAX_WEIGHT)
         && in_range (row->mean_estimate, 0, MAX_LOG_TIME)
         && in_range (row->mean_time, 0, MAX_LOG_TIME)
         && in_range (row->var_estimate, 0, max_var)
         && in_range (row->var_time, 0, max_var)
         && in_range (row->covariance, -max_cov, max_cov);
}

bool
gr_run_times_restore (struct gr_run_times *times,
                      const struct gr_run_time_row *row)
{
  struct moments *moments = &times->all;
  struct model *model;

  if (!row_is_valid (row))
    return false;
  if (row->key[0] != '\0')
    {
      model = model_use (times, row->key);
      if (model == NULL)
        return true;
      moments = &model->moments;
    }
  *moments = (struct moments){
    .weight = row->weight,
    .mean_x = row->mean_estimate,
    .mean_y = row->mean_time,
    .var_x = row->var_estimate,
    .cov = row->covariance,
    .var_y = row->var_time,
  };
  return true;
}
