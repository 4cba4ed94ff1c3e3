#include "steps/tables.h"

#include "common/log.h"

#include <stdio.h>
#include <string.h>

/* Advice for queues whose policy lets only some workers run a step. A request
 * names the workers with the most free capacity first, so that one call is
 * usually enough. */

/* The advice service answers one call per instance at a time. */
#define MAX_OPEN_REQUESTS 4

/* Pause after a call without an answer. */
#define RETRY_PAUSE_MS 300

/* A ticket must remain valid for the start order and its retries. */
#define TICKET_MARGIN_MS 500

static const struct advice *
find_advice (const struct step *step, const struct worker *worker)
{
  return step->advice ? g_hash_table_lookup (step->advice, worker->id) : NULL;
}

static bool
ticket_is_valid (const struct gr_steps *steps,
                 const struct advice *advice,
                 const struct worker *worker)
{
  return advice->allowed
         && advice->incarnation_unix_ms == worker->incarnation_unix_ms
         && steps->now_ms + TICKET_MARGIN_MS < advice->until_ms;
}

bool
gr_advice_allows (const struct gr_steps *steps,
                  const struct step *step,
                  const struct worker *worker)
{
  const struct advice *advice;

  if (!gr_step_job (step)->queue->needs_advice)
    return true;
  advice = find_advice (step, worker);
  return advice != NULL && ticket_is_valid (steps, advice, worker);
}

const char *
gr_advice_ticket (const struct step *step, const struct worker *worker)
{
  const struct advice *advice = find_advice (step, worker);

  return advice != NULL && advice->allowed ? advice->ticket : "";
}

void
gr_advice_expire (struct step *step, const struct worker *worker)
{
  struct advice *advice =
      step->advice ? g_hash_table_lookup (step->advice, worker->id) : NULL;

  if (advice != NULL)
    advice->until_ms = 0;
}

/* True if advice on the worker is useful: it could run a task of the step, is
 * not known to be excluded and has no valid ticket. */
static bool
should_request (const struct gr_steps *steps,
                const struct step *step,
                const struct worker *worker)
{
  const struct advice *advice = find_advice (step, worker);

  if (!gr_worker_usable (steps, worker)
      || !g_str_equal (worker->service, gr_step_job (step)->queue->service)
      || (step->spec->label != NULL
          && !gr_worker_has_label (worker, step->spec->label)))
    return false;
  return advice == NULL
         || (advice->allowed && !ticket_is_valid (steps, advice, worker));
}

struct candidate
{
  const struct worker *worker;
  uint32_t slots;
  bool known_allowed;
};

static gint
compare_candidates (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;

  if (a->known_allowed != b->known_allowed)
    return a->known_allowed ? -1 : 1;
  if (a->slots != b->slots)
    return a->slots > b->slots ? -1 : 1;
  return strcmp (a->worker->id, b->worker->id);
}

static GArray *
find_candidates (struct gr_steps *steps, const struct step *step)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources available;
      struct candidate candidate = { .worker = worker };

      if (!should_request (steps, step, worker))
        continue;
      available = gr_worker_free_resources (worker, step);
      candidate.slots = gr_step_slots_in (step, worker, &available);
      candidate.known_allowed = find_advice (step, worker) != NULL;
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

void
gr_advice_request_if_needed (struct gr_steps *steps, struct step *step)
{
  struct gr_advice_request *request;
  GArray *candidates;

  if (!gr_step_job (step)->queue->needs_advice || step->advice_pending
      || steps->advice_pending >= MAX_OPEN_REQUESTS
      || (step->advice_requested_ms != 0
          && steps->now_ms - step->advice_requested_ms < RETRY_PAUSE_MS))
    return;
  candidates = find_candidates (steps, step);
  if (candidates->len > 0)
    {
      request = g_new0 (struct gr_advice_request, 1);
      g_snprintf (request->step, sizeof request->step, "%s.%u.%u",
                  gr_step_job (step)->spec->id, step->occurrence->number,
                  step->number);
      request->n_workers = MIN (candidates->len, GR_ADVICE_WORKERS);
      for (uint32_t i = 0; i < request->n_workers; i++)
        g_strlcpy (request->workers[i],
                   g_array_index (candidates, struct candidate, i).worker->id,
                   sizeof request->workers[i]);
      step->advice_pending = true;
      step->advice_requested_ms = steps->now_ms;
      steps->advice_pending++;
      g_queue_push_tail (&steps->advice_requests, request);
    }
  g_array_unref (candidates);
}

bool
gr_steps_take_advice_request (struct gr_steps *steps,
                              struct gr_advice_request *request)
{
  struct gr_advice_request *queued = g_queue_pop_head (&steps->advice_requests);

  if (queued == NULL)
    return false;
  *request = *queued;
  g_free (queued);
  return true;
}

static struct step *
find_step (struct gr_steps *steps, const char *name)
{
  g_autofree char *task_name = g_strconcat (name, ".0", NULL);
  struct task *task = gr_task_find (steps, task_name);

  return task ? task->step : NULL;
}

static void
store_advice (struct step *step,
              const struct worker *worker,
              const char *ticket,
              int64_t until_ms)
{
  struct advice *advice = g_new0 (struct advice, 1);

  advice->allowed = ticket != NULL;
  advice->incarnation_unix_ms = worker->incarnation_unix_ms;
  advice->until_ms = until_ms;
  if (ticket != NULL)
    g_strlcpy (advice->ticket, ticket, sizeof advice->ticket);
  g_hash_table_replace (step->advice, g_strdup (worker->id), advice);
}

static const char *
ticket_for (const struct gr_advice_row *rows, uint32_t n_rows, const char *id)
{
  for (uint32_t i = 0; i < n_rows; i++)
    if (g_str_equal (rows[i].worker, id))
      return rows[i].ticket;
  return NULL;
}

void
gr_steps_advice_reply (struct gr_steps *steps,
                       const struct gr_advice_request *request,
                       const struct gr_advice_row *rows,
                       uint32_t n_rows,
                       int64_t valid_ms,
                       int64_t now_ms)
{
  struct step *step = find_step (steps, request->step);

  steps->advice_pending--;
  if (step == NULL)
    return;
  step->advice_pending = false;
  if (rows == NULL)
    return;
  if (step->advice == NULL)
    step->advice =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  /* Advice on more workers may be requested at once. */
  step->advice_requested_ms = 0;
  for (uint32_t i = 0; i < request->n_workers; i++)
    {
      const struct worker *worker = gr_worker_find (steps, request->workers[i]);

      if (worker != NULL)
        store_advice (step, worker,
                      ticket_for (rows, n_rows, request->workers[i]),
                      now_ms + valid_ms);
    }
}
