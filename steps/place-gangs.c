#include "steps/candidates.h"
#include "steps/deadline.h"
#include "steps/gang-wait.h"
#include "steps/place.h"
#include "steps/planned.h"

#include "common/log.h"

/* Choice of workers for gangs: on one rack if the gang asks for it. A gang runs
 * at the pace of its slowest worker, so with workers of different speeds the
 * rack is chosen by the expected completion. */

/* Workers that could take the whole gang. */
struct option
{
  GArray *candidates; /* NULL: there is no such option */
  bool in_time;       /* the gang is expected to meet its objective there */
  double slowness;    /* of the run there, including the distance to its data */
  uint64_t cost;      /* see struct gang_choice */
  uint64_t fit;       /* free capacity of the rack; the less, the better */
};

static void
start_gang_on (struct gr_steps *steps,
               struct step *step,
               const GArray *candidates)
{
  uint32_t highest = step->gang_run;
  uint32_t next = 0;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    highest = MAX (highest, step->tasks[i].run);
  step->gang_run = gr_next_run (steps, highest);
  for (guint i = 0; i < candidates->len && next < step->n_tasks; i++)
    {
      const struct candidate *candidate =
          &g_array_index (candidates, struct candidate, i);

      for (uint32_t k = 0; k < candidate->slots && next < step->n_tasks; k++)
        gr_place_task_on (steps, &step->tasks[next++], candidate->worker,
                          step->gang_run);
    }
  g_assert (next == step->n_tasks);
  gr_planned_started (steps, step);
  gr_workers_release_reserved (steps, step);
}

static uint64_t
rack_fit (const struct step *step,
          const struct rack *rack,
          const GArray *candidates)
{
  uint64_t rack_free = 0;

  if (step->spec->data_rack != NULL
      && g_str_equal (rack->name, step->spec->data_rack))
    return 0;
  for (guint i = 0; i < candidates->len; i++)
    rack_free +=
        g_array_index (candidates, struct candidate, i).free_accelerators;
  return rack_free;
}

/* Chooses the members among the option's candidates by speed. rack is NULL if
 * the candidates are on several. */
static void
choose_members (struct gr_steps *steps,
                struct step *step,
                const struct rack *rack,
                struct option *option)
{
  double far = 1.0;
  double max_slowness = gr_deadline_max_slowness (steps, step);
  struct gang_choice choice;

  if (step->spec->data_rack != NULL
      && (rack == NULL || !g_str_equal (rack->name, step->spec->data_rack)))
    far = MAX (steps->settings.far_factor, 1.0);
  choice = gr_candidates_choose (option->candidates, step->n_tasks,
                                 max_slowness / far);
  option->slowness = choice.slowness * far;
  option->in_time = option->slowness <= max_slowness;
  option->cost = choice.cost;
}

static bool
is_better (const struct option *a, const struct option *b)
{
  if (b->candidates == NULL || a->in_time != b->in_time)
    return b->candidates == NULL || a->in_time;
  if (!a->in_time && a->slowness != b->slowness)
    return a->slowness < b->slowness;
  if (a->cost != b->cost)
    return a->cost < b->cost;
  return a->fit < b->fit;
}

static void
keep_better (struct option *best, struct option *other)
{
  if (is_better (other, best))
    {
      struct option worse = *best;

      *best = *other;
      *other = worse;
    }
  g_clear_pointer (&other->candidates, g_array_unref);
}

/* The choice by speed changes its candidates, so it needs a copy. */
static GArray *
copy_candidates (GArray *candidates, bool uneven)
{
  return uneven ? g_array_copy (candidates) : g_array_ref (candidates);
}

/* Of the racks that can take the whole gang, sets *plain to the one with the
 * least free capacity, where the rack with the data goes first, and *by_speed
 * to the best by expected completion, unless all workers are alike. */
static void
find_racks (struct gr_steps *steps,
            struct step *step,
            struct option *plain,
            struct option *by_speed)
{
  GPtrArray *racks = gr_racks (steps);
  bool uneven = gr_place_by_speed (steps, step);

  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];
      struct option option = { 0 };

      if (gr_rack_is_known_full (steps, rack, step, step->n_tasks))
        continue;
      option.candidates = gr_candidates_find (steps, step, rack->workers);
      if (gr_candidates_slots (option.candidates) < step->n_tasks)
        {
          g_array_unref (option.candidates);
          continue;
        }
      option.fit = rack_fit (step, rack, option.candidates);
      if (plain->candidates == NULL || option.fit < plain->fit)
        {
          g_clear_pointer (&plain->candidates, g_array_unref);
          *plain = option;
          plain->candidates = copy_candidates (option.candidates, uneven);
        }
      if (uneven)
        {
          choose_members (steps, step, rack, &option);
          keep_better (by_speed, &option);
        }
      g_clear_pointer (&option.candidates, g_array_unref);
    }
}

/* Considers the workers of all racks together. */
static void
add_spread (struct gr_steps *steps,
            struct step *step,
            struct option *plain,
            struct option *by_speed)
{
  struct option option = { .fit = UINT64_MAX };
  bool uneven = gr_place_by_speed (steps, step);

  option.candidates = gr_candidates_find (steps, step, steps->worker_rows);
  if (gr_candidates_slots (option.candidates) >= step->n_tasks)
    {
      if (plain->candidates == NULL)
        plain->candidates = copy_candidates (option.candidates, uneven);
      if (uneven)
        {
          choose_members (steps, step, NULL, &option);
          keep_better (by_speed, &option);
        }
    }
  g_clear_pointer (&option.candidates, g_array_unref);
}

static bool
has_worker (const GArray *candidates, const struct worker *worker)
{
  for (guint i = 0; i < candidates->len; i++)
    if (g_array_index (candidates, struct candidate, i).worker == worker)
      return true;
  return false;
}

/* Whether both choices use the same workers. */
static bool
is_same_choice (const struct step *step,
                const GArray *plain,
                const GArray *by_speed)
{
  uint32_t slots = 0;
  guint used = 0;

  for (; slots < step->n_tasks; used++)
    {
      const struct candidate *row =
          &g_array_index (plain, struct candidate, used);

      if (!has_worker (by_speed, row->worker))
        return false;
      slots += row->slots;
    }
  return used == by_speed->len;
}

static void
log_choice (const struct gr_steps *steps,
            struct step *step,
            const struct option *option)
{
  const struct deadline *deadline = gr_deadline (steps, step);
  char text[3][24];

  if (step->placement_logged)
    return;
  step->placement_logged = true;
  g_snprintf (text[0], sizeof text[0], "%" G_GINT64_FORMAT,
              steps->now_ms - deadline->accepted_ms + deadline->rest_ms
                  + (int64_t)((double)deadline->run_ms * option->slowness));
  g_snprintf (text[1], sizeof text[1], "%" G_GINT64_FORMAT,
              deadline->objective_ms);
  g_snprintf (text[2], sizeof text[2], "%.2f", option->slowness);
  gr_log_event ("gang-placed", "job", gr_step_job (step)->spec->id,
                "expected-completion-ms", text[0], "objective-ms", text[1],
                "slowest-member", text[2], "mode",
                steps->settings.objectives == GR_MODE_ON ? "on" : "observe",
                NULL);
}

/* Requests reports of the workers on which the gang would be started, as far as
 * they are needed; returns whether the gang has to wait for them. */
static bool
waits_for_reports (struct gr_steps *steps,
                   const struct step *step,
                   const GArray *candidates)
{
  bool waits = false;
  uint32_t slots = 0;

  for (guint i = 0; i < candidates->len && slots < step->n_tasks; i++)
    {
      const struct candidate *candidate =
          &g_array_index (candidates, struct candidate, i);

      slots += candidate->slots;
      if (!gr_crash_needs_report (steps, step, candidate->worker))
        continue;
      gr_crash_request_report (steps, step, candidate->worker);
      waits = true;
    }
  return waits;
}

/* Counts the choice, and starts the gang on its workers. */
static void
start_option (struct gr_steps *steps,
              struct step *step,
              const struct option *plain,
              const struct option *by_speed)
{
  struct gr_steps_placement *counts = &steps->placement;
  const GArray *chosen = plain->candidates;

  gr_candidates_sort_by_fit (plain->candidates);
  if (by_speed->candidates != NULL && steps->settings.objectives == GR_MODE_ON)
    chosen = by_speed->candidates;
  if (waits_for_reports (steps, step, chosen))
    return;
  if (steps->settings.objectives != GR_MODE_OFF)
    gr_place_count_expected (
        steps, step, by_speed->candidates != NULL ? by_speed->slowness : 1.0);
  if (by_speed->candidates != NULL
      && !is_same_choice (step, plain->candidates, by_speed->candidates))
    {
      counts->choices_changed++;
      log_choice (steps, step, by_speed);
    }
  start_gang_on (steps, step, chosen);
}

static bool
waits (struct gr_steps *steps, struct step *step, const struct option *by_speed)
{
  return by_speed->candidates != NULL && !by_speed->in_time
         && gr_gang_waits (steps, step, by_speed->slowness);
}

bool
gr_place_gang (struct gr_steps *steps, struct step *step)
{
  struct option plain = { 0 };
  struct option by_speed = { 0 };
  bool fits;

  if (step->n_waiting < step->n_tasks || gr_crash_holds_gang (steps, step))
    return true;
  find_racks (steps, step, &plain, &by_speed);
  if (plain.candidates == NULL
          ? gr_step_may_spread (steps, step)
          : by_speed.candidates != NULL && !by_speed.in_time
                && !step->spec->one_rack)
    add_spread (steps, step, &plain, &by_speed);
  fits = plain.candidates != NULL;
  if (fits && !waits (steps, step, &by_speed))
    start_option (steps, step, &plain, &by_speed);
  g_clear_pointer (&plain.candidates, g_array_unref);
  g_clear_pointer (&by_speed.candidates, g_array_unref);
  return fits;
}
