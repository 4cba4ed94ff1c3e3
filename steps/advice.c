#include "steps/tables.h"

#include "common/log.h"

#include <stdio.h>
#include <string.h>

/* Queues whose policy lets only some workers run a step. Workers with the most
 * room are asked about first, so that one call is mostly enough. */

/* The service answers one call of an instance at a time. */
#define MAX_OPEN_REQUESTS 4

/* After a call without an answer. */
#define RETRY_MS 300

/* A ticket must outlast the start and its repeats. */
#define TICKET_MARGIN_MS 500

static const struct advice *
find (const struct step *step, const struct worker *worker)
{
  return step->advice ? g_hash_table_lookup (step->advice, worker->id) : NULL;
}

static bool
ticket_is_valid (const struct gr_steps *steps,
                 const struct advice *advice,
                 const struct worker *worker)
{
  return advice->good && advice->born_unix_ms == worker->born_unix_ms
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
  advice = find (step, worker);
  return advice != NULL && ticket_is_valid (steps, advice, worker);
}

const char *
gr_advice_ticket (const struct step *step, const struct worker *worker)
{
  const struct advice *advice = find (step, worker);

  return advice != NULL && advice->good ? advice->ticket : "";
}

void
gr_advice_expire (struct step *step, const struct worker *worker)
{
  struct advice *advice =
      step->advice ? g_hash_table_lookup (step->advice, worker->id) : NULL;

  if (advice != NULL)
    advice->until_ms = 0;
}

/* Worth asking about: it could run a task of the step, and is not known to be
 * excluded, nor has it a ticket. */
static bool
is_of_interest (const struct gr_steps *steps,
                const struct step *step,
                const struct worker *worker)
{
  const struct advice *advice = find (step, worker);

  if (!gr_worker_usable (steps, worker)
      || !g_str_equal (worker->service, gr_step_job (step)->queue->service)
      || (step->spec->label != NULL
          && !gr_worker_has_label (worker, step->spec->label)))
    return false;
  return advice == NULL
         || (advice->good && !ticket_is_valid (steps, advice, worker));
}

struct choice
{
  const struct worker *worker;
  uint32_t slots;
  bool known_good;
};

static gint
compare_choices (gconstpointer left, gconstpointer right)
{
  const struct choice *a = left;
  const struct choice *b = right;

  if (a->known_good != b->known_good)
    return a->known_good ? -1 : 1;
  if (a->slots != b->slots)
    return a->slots > b->slots ? -1 : 1;
  return strcmp (a->worker->id, b->worker->id);
}

static GArray *
find_choices (struct gr_steps *steps, const struct step *step)
{
  GArray *choices = g_array_new (FALSE, FALSE, sizeof (struct choice));

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources room;
      struct choice choice = { .worker = worker };

      if (!is_of_interest (steps, step, worker))
        continue;
      room = gr_worker_room (worker, step);
      choice.slots = gr_slots_in (step, worker, &room);
      choice.known_good = find (step, worker) != NULL;
      g_array_append_val (choices, choice);
    }
  g_array_sort (choices, compare_choices);
  return choices;
}

void
gr_advice_ask (struct gr_steps *steps, struct step *step)
{
  struct gr_advice_request *request;
  GArray *choices;

  if (!gr_step_job (step)->queue->needs_advice || step->advice_open
      || steps->advice_open >= MAX_OPEN_REQUESTS
      || (step->advice_ms != 0 && steps->now_ms - step->advice_ms < RETRY_MS))
    return;
  choices = find_choices (steps, step);
  if (choices->len > 0)
    {
      request = g_new0 (struct gr_advice_request, 1);
      g_snprintf (request->step, sizeof request->step, "%s.%u.%u",
                  gr_step_job (step)->spec->id, step->occurrence->number,
                  step->number);
      request->n_workers = MIN (choices->len, GR_ADVICE_WORKERS);
      for (uint32_t i = 0; i < request->n_workers; i++)
        g_strlcpy (request->workers[i],
                   g_array_index (choices, struct choice, i).worker->id,
                   sizeof request->workers[i]);
      step->advice_open = true;
      step->advice_ms = steps->now_ms;
      steps->advice_open++;
      g_queue_push_tail (&steps->advice_requests, request);
    }
  g_array_unref (choices);
}

bool
gr_steps_take_advice_request (struct gr_steps *steps,
                              struct gr_advice_request *request)
{
  struct gr_advice_request *next = g_queue_pop_head (&steps->advice_requests);

  if (next == NULL)
    return false;
  *request = *next;
  g_free (next);
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

  advice->good = ticket != NULL;
  advice->born_unix_ms = worker->born_unix_ms;
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
gr_steps_advice (struct gr_steps *steps,
                 const struct gr_advice_request *request,
                 const struct gr_advice_row *rows,
                 uint32_t n_rows,
                 int64_t valid_ms,
                 int64_t now_ms)
{
  struct step *step = find_step (steps, request->step);

  steps->advice_open--;
  if (step == NULL)
    return;
  step->advice_open = false;
  if (rows == NULL)
    return;
  if (step->advice == NULL)
    step->advice =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  /* More workers may be asked about at once. */
  step->advice_ms = 0;
  for (uint32_t i = 0; i < request->n_workers; i++)
    {
      const struct worker *worker = gr_worker_find (steps, request->workers[i]);

      if (worker != NULL)
        store_advice (step, worker,
                      ticket_for (rows, n_rows, request->workers[i]),
                      now_ms + valid_ms);
    }
}
