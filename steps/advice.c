#include "steps/tables.h"

#include "common/log.h"

#include <stdio.h>
#include <string.h>

/* Advice for queues whose policy lets only some workers run a step. A request
 * names the workers with the most free capacity first, and only as many as the
 * step probably needs: the answer takes longer with each of them. When a call
 * may be sent is decided in advice-service.c. */

/* Pause of a step after a call without an answer. */
#define RETRY_PAUSE_MS 300

/* A request names workers for this multiple of the waiting tasks. */
#define NAMED_FACTOR 2

/* Part of the fixed time of a request that may be spent on further workers. */
#define CHEAP_DIVISOR 4

/* The counts of allowed workers are halved at this number. */
#define MAX_ASKED 256

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

/* Finds the workers on which advice is useful. Sets *has_room if the step could
 * start now on workers that may be allowed; tasks outside gangs start one by
 * one, so then only workers with room are returned. */
static GArray *
find_candidates (struct gr_steps *steps,
                 const struct step *step,
                 bool *has_room)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  uint32_t gang_size = step->spec->gang ? step->n_waiting : 0;
  uint32_t slots = 0;

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources available;
      struct candidate candidate = { .worker = worker };
      bool is_useful = should_request (steps, step, worker);

      if (!is_useful
          && (gang_size == 0 || !gr_worker_allowed (steps, worker, step)))
        continue;
      available = gr_worker_free_resources (worker, step);
      candidate.slots = gr_step_slots_in (step, worker, &available);
      candidate.known_allowed = find_advice (step, worker) != NULL;
      slots += candidate.slots;
      if (is_useful)
        g_array_append_val (candidates, candidate);
    }
  *has_room = slots >= MAX (gang_size, 1);
  if (*has_room && gang_size == 0)
    for (guint i = candidates->len; i-- > 0;)
      if (g_array_index (candidates, struct candidate, i).slots == 0)
        g_array_remove_index_fast (candidates, i);
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

/* Share of the workers that the queue's policy probably allows. Before any
 * answer, all are expected to be. */
static double
allowed_share (const struct queue *queue)
{
  return (queue->advice_allowed + 1.0) / (queue->advice_asked + 1.0);
}

/* Number of workers that a request may name at little extra cost: those that
 * take a small part of the time that it needs anyway. */
static uint32_t
count_cheap (const struct queue *queue)
{
  if (queue->advice_each_ms == 0)
    return GR_ADVICE_WORKERS;
  return queue->advice_decide_ms / CHEAP_DIVISOR / queue->advice_each_ms;
}

/* Number of candidates to name, of those with the most room: among them, at
 * least one worker and enough room should be allowed. A gang needs workers of
 * one rack, and a step without room those on which runs can be stopped, which
 * other criteria decide. */
static uint32_t
count_named (const struct step *step, const GArray *candidates, bool has_room)
{
  const struct queue *queue = gr_step_job (step)->queue;
  double share = allowed_share (queue);
  double tasks = (double)NAMED_FACTOR * step->n_waiting;
  double workers = 1;
  uint32_t limit = MIN (candidates->len, GR_ADVICE_WORKERS);
  uint32_t n = 0;

  if (!has_room || step->spec->gang)
    return limit;
  while (n < limit && (tasks > 0 || workers > 0))
    {
      const struct candidate *candidate =
          &g_array_index (candidates, struct candidate, n);
      double allowed = candidate->known_allowed ? 1 : share;

      tasks -= candidate->slots * allowed;
      workers -= allowed;
      n++;
    }
  return MIN (MAX (n, count_cheap (queue)), limit);
}

static void
send_request (struct gr_steps *steps,
              struct step *step,
              const GArray *candidates,
              uint32_t n_workers)
{
  const struct queue *queue = gr_step_job (step)->queue;
  struct gr_advice_request *request = g_new0 (struct gr_advice_request, 1);
  uint32_t work_ms =
      queue->advice_decide_ms + queue->advice_each_ms * n_workers;

  g_snprintf (request->step, sizeof request->step, "%s.%u.%u",
              gr_step_job (step)->spec->id, step->occurrence->number,
              step->number);
  request->n_workers = n_workers;
  for (uint32_t i = 0; i < n_workers; i++)
    g_strlcpy (request->workers[i],
               g_array_index (candidates, struct candidate, i).worker->id,
               sizeof request->workers[i]);
  request->number =
      gr_advice_service_begin (steps->advice_service, work_ms, steps->now_ms);
  g_hash_table_insert (steps->advice_calls, GUINT_TO_POINTER (request->number),
                       g_strdup (request->step));
  step->advice_call = request->number;
  step->advice_requested_ms = steps->now_ms;
  g_queue_push_tail (&steps->advice_requests, request);
}

/* Without room, advice is of use only to a step that can get workers freed or
 * planned. */
static bool
may_request_without_room (const struct step *step)
{
  return step->spec->gang || gr_step_job (step)->queue->priority == 0;
}

static bool
is_more_urgent (const struct step *step, const struct step *other)
{
  return gr_step_job (step)->queue->priority
         < gr_step_job (other)->queue->priority;
}

void
gr_advice_want (struct gr_steps *steps, struct step *step)
{
  if (gr_step_job (step)->queue->needs_advice && step->advice_call == 0
      && (step->advice_requested_ms == 0
          || steps->now_ms - step->advice_requested_ms >= RETRY_PAUSE_MS))
    g_ptr_array_add (steps->advice_wanted, step);
}

static struct step *
find_step (struct gr_steps *steps, const char *name)
{
  g_autofree char *task_name = g_strconcat (name, ".0", NULL);
  struct task *task = gr_task_find (steps, task_name);

  return task ? task->step : NULL;
}

/* An answer that is overdue may be lost, so its step may request advice again.
 * If the answer comes all the same, it is used. */
static void
release_overdue (struct gr_steps *steps)
{
  uint32_t number;

  while ((number = gr_advice_service_take_overdue (steps->advice_service,
                                                   steps->now_ms))
         != 0)
    {
      const char *name =
          g_hash_table_lookup (steps->advice_calls, GUINT_TO_POINTER (number));
      struct step *step = name ? find_step (steps, name) : NULL;
      char slowness[16];

      g_snprintf (slowness, sizeof slowness, "%.2f",
                  gr_advice_service_slowness (steps->advice_service));
      gr_log_event ("advice-overdue", "step", name ? name : "", "slowness",
                    slowness, NULL);
      if (step != NULL && step->advice_call == number)
        step->advice_call = 0;
    }
}

/* Returns the step that may call next, with its candidates. A step that can
 * start now goes before those that cannot; a more urgent one that cannot takes
 * turns with it, as several of them would use all calls to renew their
 * tickets. */
static struct step *
choose_step (struct gr_steps *steps, GArray **candidates, bool *has_room)
{
  struct step *without_room = NULL;
  struct step *step = NULL;

  for (guint i = 0; i < steps->advice_wanted->len; i++)
    {
      step = steps->advice_wanted->pdata[i];
      if (step->advice_call != 0)
        continue;
      *candidates = find_candidates (steps, step, has_room);
      if ((*candidates)->len > 0 && *has_room)
        break;
      if ((*candidates)->len > 0 && without_room == NULL
          && may_request_without_room (step))
        without_room = step;
      g_clear_pointer (candidates, g_array_unref);
    }
  if (without_room == NULL
      || (*candidates != NULL
          && (steps->advice_without_room
              || !is_more_urgent (without_room, step))))
    return *candidates ? step : NULL;
  g_clear_pointer (candidates, g_array_unref);
  *candidates = find_candidates (steps, without_room, has_room);
  return without_room;
}

void
gr_advice_send_requests (struct gr_steps *steps)
{
  release_overdue (steps);
  while (gr_advice_service_may_call (steps->advice_service, steps->now_ms))
    {
      g_autoptr (GArray) candidates = NULL;
      bool has_room = false;
      struct step *step = choose_step (steps, &candidates, &has_room);

      if (step == NULL)
        break;
      steps->advice_without_room = !has_room;
      send_request (steps, step, candidates,
                    count_named (step, candidates, has_room));
    }
  g_ptr_array_set_size (steps->advice_wanted, 0);
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

/* Answers on workers of which nothing was known show what the policy allows. */
static void
count_allowed (struct queue *queue, bool allowed)
{
  if (queue->advice_asked >= MAX_ASKED)
    {
      queue->advice_asked /= 2;
      queue->advice_allowed /= 2;
    }
  queue->advice_asked++;
  queue->advice_allowed += allowed;
}

static void
store_answer (struct gr_steps *steps,
              struct step *step,
              const struct gr_advice_request *request,
              const struct gr_advice_answer *answer)
{
  if (step->advice == NULL)
    step->advice =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (uint32_t i = 0; i < request->n_workers; i++)
    {
      const char *id = request->workers[i];
      const struct worker *worker = gr_worker_find (steps, id);
      const char *ticket = ticket_for (answer->rows, answer->n_rows, id);

      if (!g_hash_table_contains (step->advice, id))
        count_allowed (gr_step_job (step)->queue, ticket != NULL);
      if (worker != NULL)
        store_advice (step, worker, ticket, steps->now_ms + answer->valid_ms);
    }
}

void
gr_steps_advice_reply (struct gr_steps *steps,
                       const struct gr_advice_request *request,
                       const struct gr_advice_answer *answer,
                       int64_t now_ms)
{
  struct step *step = find_step (steps, request->step);

  steps->now_ms = now_ms;
  gr_advice_service_end (steps->advice_service, request->number, answer->result,
                         now_ms);
  g_hash_table_remove (steps->advice_calls, GUINT_TO_POINTER (request->number));
  if (step == NULL)
    return;
  if (step->advice_call == request->number)
    step->advice_call = 0;
  if (answer->result != GR_ADVICE_ANSWERED)
    return;
  /* Advice on more workers may be requested at once. */
  step->advice_requested_ms = 0;
  store_answer (steps, step, request, answer);
}
