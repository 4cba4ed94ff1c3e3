#include "learn/groups.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Smallest difference between two groups: logarithm of 1.1. */
#define MIN_DIFFERENCE 0.0953
/* Deployments have up to three kinds of workers; more groups only approximate
 * speeds that differ continuously. */
#define MAX_GROUPS 6
/* Standard errors of a variance by which that within the groups may exceed the
 * noise. */
#define NOISE_ERRORS 2.0
/* The borders of the groups settle in a few rounds; this bounds the cost. */
#define MAX_REFINEMENTS 10

/* Group i holds the values from borders[i] to before borders[i + 1]. */
struct grouping
{
  const double *values;
  uint32_t n;
  double *sums; /* sums[i] is that of the first i values */
  uint32_t n_groups;
  uint32_t borders[MAX_GROUPS + 1];
};

static double
range_mean (const struct grouping *g, uint32_t from, uint32_t to)
{
  return (g->sums[to] - g->sums[from]) / (to - from);
}

static double
group_mean (const struct grouping *g, uint32_t group)
{
  return range_mean (g, g->borders[group], g->borders[group + 1]);
}

/* Finds the split of the range that reduces the sum of squares within the
 * groups most; returns the reduction. */
static double
best_split (const struct grouping *g,
            uint32_t from,
            uint32_t to,
            uint32_t *best_at)
{
  double best = 0;

  for (uint32_t at = from + 1; at < to; at++)
    {
      double below = at - from;
      double above = to - at;
      double distance = range_mean (g, at, to) - range_mean (g, from, at);
      double gain = distance * distance * below * above / (below + above);

      if (gain <= best)
        continue;
      best = gain;
      *best_at = at;
    }
  return best;
}

/* Splits one group in two. Returns false if all values of each group are
 * equal. */
static bool
grouping_split (struct grouping *g)
{
  double best = 0;
  uint32_t best_at = 0;
  uint32_t best_group = 0;

  for (uint32_t group = 0; group < g->n_groups; group++)
    {
      uint32_t at = 0;
      double gain =
          best_split (g, g->borders[group], g->borders[group + 1], &at);

      if (gain <= best)
        continue;
      best = gain;
      best_at = at;
      best_group = group;
    }
  if (best_at == 0)
    return false;
  g->n_groups++;
  for (uint32_t i = g->n_groups; i > best_group + 1; i--)
    g->borders[i] = g->borders[i - 1];
  g->borders[best_group + 1] = best_at;
  return true;
}

/* Moves the borders halfway between the means until they stay (k-means in one
 * dimension). */
static void
grouping_refine (struct grouping *g)
{
  bool moved = true;

  for (int round = 0; moved && round < MAX_REFINEMENTS; round++)
    {
      moved = false;
      for (uint32_t i = 1; i < g->n_groups; i++)
        {
          double middle = (group_mean (g, i - 1) + group_mean (g, i)) / 2;
          uint32_t at = g->borders[i];

          while (at > g->borders[i - 1] + 1 && g->values[at - 1] > middle)
            at--;
          while (at + 1 < g->borders[i + 1] && g->values[at] < middle)
            at++;
          moved = moved || at != g->borders[i];
          g->borders[i] = at;
        }
    }
}

static double
grouping_variance (const struct grouping *g)
{
  double sum = 0;

  for (uint32_t group = 0; group < g->n_groups; group++)
    {
      double mean = group_mean (g, group);

      for (uint32_t i = g->borders[group]; i < g->borders[group + 1]; i++)
        sum += (g->values[i] - mean) * (g->values[i] - mean);
    }
  return sum / g->n;
}

static bool
grouping_is_clear (const struct grouping *g)
{
  for (uint32_t i = 1; i < g->n_groups; i++)
    if (group_mean (g, i) - group_mean (g, i - 1) < MIN_DIFFERENCE)
      return false;
  return true;
}

static void
grouping_choose (struct grouping *g, double noise_variance)
{
  double limit = noise_variance * (1 + NOISE_ERRORS * sqrt (2.0 / g->n));

  while (g->n_groups < MAX_GROUPS && grouping_variance (g) > limit)
    {
      struct grouping next = *g;

      if (!grouping_split (&next))
        return;
      grouping_refine (&next);
      if (!grouping_is_clear (&next))
        return;
      *g = next;
    }
}

void
gr_group_values (double *values, uint32_t n, double noise_variance)
{
  struct grouping g = { .values = values, .n = n, .n_groups = 1 };
  double means[MAX_GROUPS];

  if (n == 0)
    return;
  g.borders[1] = n;
  g.sums = g_new0 (double, n + 1);
  for (uint32_t i = 0; i < n; i++)
    g.sums[i + 1] = g.sums[i] + values[i];
  grouping_choose (&g, noise_variance);
  for (uint32_t group = 0; group < g.n_groups; group++)
    means[group] = group_mean (&g, group);
  for (uint32_t group = 0; group < g.n_groups; group++)
    for (uint32_t i = g.borders[group]; i < g.borders[group + 1]; i++)
      values[i] = means[group];
  g_free (g.sums);
}
