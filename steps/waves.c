#include "steps/waves.h"

#include "common/log.h"
#include "steps/tenure.h"

#include <string.h>

/* Time for tasks that end by themselves to finish before they are stopped. */
#define EVACUATION_GRACE_MS 4000

/* A machine list reflects a finished upkeep order if it was requested at least
 * this long after it. */
#define LIST_DELAY_MS 500

#define RETRY_MS 500

/* A machine is gone when the lists have not named it for this time, three list
 * periods. One list can miss a machine, as its pages are read one after the
 * other. */
#define GONE_AFTER_MS 2000

enum member_state
{
  MEMBER_PENDING,
  MEMBER_CLOSING, /* gets no new work; its runs end or are stopped, and the
                     order is announced in the store */
  MEMBER_ORDERED, /* an upkeep order was sent, but is not confirmed */
  MEMBER_AWAY,    /* taken down for upkeep */
  MEMBER_DONE,
  MEMBER_GONE, /* the machine does not exist any more */
};

struct member
{
  char *machine;
  char *worker;  /* from the last machine list */
  bool listed;   /* a machine list has arrived since the wave was added */
  bool rejected; /* the platform has answered that it is not in the wave */
  int64_t missing_since_ms; /* first list without it since the last one with
                               it; 0: the last list names it */
  enum gr_machine_state machine_state;
  enum member_state state;
  int64_t since_ms;  /* when state last changed */
  int64_t sent_ms;   /* of the last order */
  bool order_open;   /* its result has not arrived */
  uint32_t sequence; /* of its announcement; 0: not announced */
  bool announced;    /* it is stored that its upkeep may be ordered */
};

struct wave
{
  int64_t number;
  uint32_t cap;
  uint32_t sequence; /* of the last announcement */
  GPtrArray *members;
};

struct gr_waves
{
  struct gr_steps *steps;
  GPtrArray *waves;
  GQueue orders;
  int64_t now_ms;
};

static void
member_free (void *data)
{
  struct member *member = data;

  g_free (member->machine);
  g_free (member->worker);
  g_free (member);
}

static void
wave_free (void *data)
{
  struct wave *wave = data;

  g_ptr_array_unref (wave->members);
  g_free (wave);
}

struct gr_waves *
gr_waves_create (struct gr_steps *steps)
{
  struct gr_waves *waves = g_new0 (struct gr_waves, 1);

  waves->steps = steps;
  waves->waves = g_ptr_array_new_with_free_func (wave_free);
  g_queue_init (&waves->orders);
  return waves;
}

void
gr_waves_destroy (struct gr_waves *waves)
{
  if (waves == NULL)
    return;
  g_ptr_array_unref (waves->waves);
  g_queue_clear_full (&waves->orders, g_free);
  g_free (waves);
}

static struct wave *
find_wave (const struct gr_waves *waves, int64_t number)
{
  for (guint i = 0; i < waves->waves->len; i++)
    {
      struct wave *wave = waves->waves->pdata[i];

      if (wave->number == number)
        return wave;
    }
  return NULL;
}

static struct member *
find_member (const struct wave *wave, const char *machine)
{
  for (guint i = 0; wave != NULL && i < wave->members->len; i++)
    {
      struct member *member = wave->members->pdata[i];

      if (g_str_equal (member->machine, machine))
        return member;
    }
  return NULL;
}

static void
set_state (struct gr_waves *waves,
           struct member *member,
           enum member_state state)
{
  static const char *const names[] = {
    [MEMBER_PENDING] = "pending", [MEMBER_CLOSING] = "closing",
    [MEMBER_ORDERED] = "ordered", [MEMBER_AWAY] = "away",
    [MEMBER_DONE] = "done",       [MEMBER_GONE] = "gone",
  };

  if (member->state == state)
    return;
  member->state = state;
  member->since_ms = waves->now_ms;
  gr_log_event ("upkeep", "machine", member->machine, "state", names[state],
                NULL);
}

void
gr_waves_set (struct gr_waves *waves,
              int64_t number,
              const char *const *machines,
              uint32_t cap)
{
  struct wave *wave = find_wave (waves, number);

  if (wave != NULL)
    {
      wave->cap = MAX (cap, 1);
      return;
    }
  wave = g_new0 (struct wave, 1);
  wave->number = number;
  wave->cap = MAX (cap, 1);
  wave->members = g_ptr_array_new_with_free_func (member_free);
  for (; *machines != NULL; machines++)
    {
      struct member *member = g_new0 (struct member, 1);

      member->machine = g_strdup (*machines);
      member->worker = g_strdup ("");
      g_ptr_array_add (wave->members, member);
    }
  g_ptr_array_add (waves->waves, wave);
}

void
gr_waves_restore (struct gr_waves *waves, int64_t number, const char *machine)
{
  struct member *member = find_member (find_wave (waves, number), machine);

  if (member != NULL)
    member->state = MEMBER_DONE;
}

void
gr_waves_restore_open (struct gr_waves *waves,
                       int64_t number,
                       const char *machine)
{
  struct member *member = find_member (find_wave (waves, number), machine);

  if (member == NULL || member->state != MEMBER_PENDING)
    return;
  member->announced = true;
  member->since_ms = waves->now_ms;
  member->state = MEMBER_CLOSING;
}

static const struct gr_machine *
find_machine (const struct gr_machine *machines, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (g_str_equal (machines[i].machine, name))
      return &machines[i];
  return NULL;
}

/* True if the machine is up again after its upkeep, or if its upkeep had
 * already been done before the order. */
static bool
upkeep_finished (const struct member *member,
                 const struct gr_machine *row,
                 int64_t requested_ms)
{
  return member->state == MEMBER_AWAY && row->state == GR_MACHINE_UP
         && requested_ms >= member->since_ms + LIST_DELAY_MS;
}

static void
set_worker (struct gr_waves *waves, struct member *member, const char *worker)
{
  /* While the machine has no worker, the former one may come back. */
  if (worker[0] == '\0' || g_str_equal (member->worker, worker))
    return;
  if (member->state != MEMBER_PENDING)
    {
      gr_log_event ("upkeep-worker-replaced", "machine", member->machine,
                    "former", member->worker, "worker", worker, NULL);
      gr_steps_close_worker (waves->steps, member->worker, false);
    }
  g_free (member->worker);
  member->worker = g_strdup (worker);
}

static void
update_missing (struct gr_waves *waves,
                struct member *member,
                int64_t requested_ms)
{
  if (member->missing_since_ms == 0)
    member->missing_since_ms = requested_ms;
  if (member->state >= MEMBER_DONE
      || requested_ms - member->missing_since_ms < GONE_AFTER_MS)
    return;
  if (member->state != MEMBER_PENDING)
    gr_steps_close_worker (waves->steps, member->worker, false);
  set_state (waves, member,
             member->state == MEMBER_AWAY ? MEMBER_DONE : MEMBER_GONE);
}

static void
update_member (struct gr_waves *waves,
               struct member *member,
               const struct gr_machine *row,
               int64_t requested_ms)
{
  member->listed = true;
  if (row == NULL)
    {
      update_missing (waves, member, requested_ms);
      return;
    }
  member->missing_since_ms = 0;
  if (member->state == MEMBER_GONE && !member->rejected)
    set_state (waves, member, MEMBER_PENDING);
  /* The answer to the order was lost, but the order took effect; also one of a
   * former owner. */
  if (member->announced && member->state <= MEMBER_ORDERED
      && row->state == GR_MACHINE_UPKEEP)
    set_state (waves, member, MEMBER_AWAY);
  if (upkeep_finished (member, row, requested_ms))
    {
      gr_steps_close_worker (waves->steps, member->worker, false);
      set_state (waves, member, MEMBER_DONE);
    }
  member->machine_state = row->state;
  if (member->state <= MEMBER_ORDERED)
    set_worker (waves, member, row->worker);
}

void
gr_waves_update_machines (struct gr_waves *waves,
                          const struct gr_machine *machines,
                          size_t n_machines,
                          int64_t requested_ms)
{
  for (guint i = 0; i < waves->waves->len; i++)
    {
      const struct wave *wave = waves->waves->pdata[i];

      for (guint k = 0; k < wave->members->len; k++)
        {
          struct member *member = wave->members->pdata[k];

          update_member (waves, member,
                         find_machine (machines, n_machines, member->machine),
                         requested_ms);
        }
    }
}

void
gr_waves_result (struct gr_waves *waves,
                 const struct gr_upkeep_order *order,
                 enum gr_upkeep_result result,
                 int64_t now_ms)
{
  struct member *member =
      find_member (find_wave (waves, order->wave), order->machine);

  waves->now_ms = now_ms;
  if (result == GR_UPKEEP_FENCED)
    gr_steps_set_fenced (waves->steps);
  if (member != NULL)
    member->order_open = false;
  if (member == NULL || member->state != MEMBER_ORDERED)
    return;
  if (result == GR_UPKEEP_DONE)
    set_state (waves, member, MEMBER_AWAY);
  else if (result == GR_UPKEEP_NOT_IN_WAVE)
    {
      gr_steps_close_worker (waves->steps, member->worker, false);
      member->rejected = true;
      set_state (waves, member, MEMBER_GONE);
    }
  /* Otherwise the order is sent again. It may have taken effect, so the machine
   * counts as down until an answer arrives. */
}

static bool
counts_as_down (const struct member *member)
{
  return member->state == MEMBER_ORDERED || member->state == MEMBER_AWAY
         || member->state == MEMBER_CLOSING
         || (member->state == MEMBER_PENDING && member->missing_since_ms == 0
             && (!member->listed || member->machine_state != GR_MACHINE_UP));
}

/* Of the machines whose upkeep is pending, the one whose worker has the fewest
 * runs; NULL if there is none. */
static struct member *
next_machine (struct gr_waves *waves, const struct wave *wave)
{
  struct member *best = NULL;
  uint32_t best_load = 0;

  for (guint i = 0; i < wave->members->len; i++)
    {
      struct member *member = wave->members->pdata[i];
      uint32_t load;

      if (member->state != MEMBER_PENDING || !member->listed
          || member->missing_since_ms != 0
          || member->machine_state != GR_MACHINE_UP)
        continue;
      load = gr_steps_worker_load (waves->steps, member->worker);
      if (best != NULL && load >= best_load)
        continue;
      best = member;
      best_load = load;
    }
  return best;
}

static void
send_order (struct gr_waves *waves,
            const struct wave *wave,
            struct member *member)
{
  struct gr_upkeep_order *order = g_new0 (struct gr_upkeep_order, 1);

  order->wave = wave->number;
  g_strlcpy (order->machine, member->machine, sizeof order->machine);
  member->sent_ms = waves->now_ms;
  member->order_open = true;
  g_queue_push_tail (&waves->orders, order);
}

static void
advance_member (struct gr_waves *waves,
                const struct wave *wave,
                struct member *member)
{
  bool grace_over = waves->now_ms - member->since_ms >= EVACUATION_GRACE_MS;

  /* The worker may have been replaced or registered since. */
  if (member->state == MEMBER_CLOSING || member->state == MEMBER_ORDERED)
    gr_steps_close_worker (waves->steps, member->worker, true);
  if (member->state == MEMBER_CLOSING && member->listed
      && gr_steps_evacuate_worker (waves->steps, member->worker, grace_over)
      && member->announced)
    {
      set_state (waves, member, MEMBER_ORDERED);
      send_order (waves, wave, member);
    }
  else if (member->state == MEMBER_ORDERED && !member->order_open
           && waves->now_ms - member->sent_ms >= RETRY_MS)
    send_order (waves, wave, member);
}

static void
close_member (struct gr_waves *waves, struct wave *wave, struct member *member)
{
  member->sequence = ++wave->sequence;
  set_state (waves, member, MEMBER_CLOSING);
  gr_steps_close_worker (waves->steps, member->worker, true);
}

static void
advance_wave (struct gr_waves *waves, struct wave *wave)
{
  uint32_t down = 0;

  for (guint i = 0; i < wave->members->len; i++)
    {
      advance_member (waves, wave, wave->members->pdata[i]);
      down += counts_as_down (wave->members->pdata[i]);
    }
  while (down < wave->cap)
    {
      struct member *member = next_machine (waves, wave);

      if (member == NULL)
        return;
      close_member (waves, wave, member);
      down++;
    }
}

/* Machines check fences each by itself, so a former owner could take down
 * machines that its successor has not called yet. */
static bool
may_order (const struct gr_waves *waves)
{
  return gr_steps_is_only_owner (waves->steps,
                                 waves->now_ms + GR_UPKEEP_ORDER_TIMEOUT_MS);
}

void
gr_waves_tick (struct gr_waves *waves, int64_t now_ms)
{
  waves->now_ms = now_ms;
  if (!may_order (waves))
    return;
  for (guint i = 0; i < waves->waves->len; i++)
    advance_wave (waves, waves->waves->pdata[i]);
}

bool
gr_waves_take_order (struct gr_waves *waves, struct gr_upkeep_order *order)
{
  struct gr_upkeep_order *next;

  if (!may_order (waves))
    return false;
  next = g_queue_pop_head (&waves->orders);
  if (next == NULL)
    return false;
  *order = *next;
  g_free (next);
  return true;
}

static bool
is_complete (const struct wave *wave)
{
  for (guint i = 0; i < wave->members->len; i++)
    if (((struct member *)wave->members->pdata[i])->state < MEMBER_DONE)
      return false;
  return true;
}

bool
gr_waves_active (const struct gr_waves *waves)
{
  for (guint i = 0; i < waves->waves->len; i++)
    if (!is_complete (waves->waves->pdata[i]))
      return true;
  return false;
}

static void
visit_wave (const struct wave *wave,
            void (*visit) (const struct gr_wave_progress *progress,
                           void *context),
            void *context)
{
  g_autoptr (GPtrArray) done = g_ptr_array_new ();
  g_autoptr (GPtrArray) open = g_ptr_array_new ();
  struct gr_wave_progress progress = { .wave = wave->number,
                                       .complete = is_complete (wave),
                                       .done = done,
                                       .open = open,
                                       .sequence = wave->sequence };

  for (guint i = 0; i < wave->members->len; i++)
    {
      const struct member *member = wave->members->pdata[i];

      if (member->state == MEMBER_DONE)
        g_ptr_array_add (done, member->machine);
      else if (member->state >= MEMBER_CLOSING && member->state <= MEMBER_AWAY)
        g_ptr_array_add (open, member->machine);
    }
  visit (&progress, context);
}

void
gr_waves_each (const struct gr_waves *waves,
               void (*visit) (const struct gr_wave_progress *progress,
                              void *context),
               void *context)
{
  for (guint i = 0; i < waves->waves->len; i++)
    visit_wave (waves->waves->pdata[i], visit, context);
}

void
gr_waves_stored (struct gr_waves *waves, int64_t number, uint32_t sequence)
{
  struct wave *wave = find_wave (waves, number);

  for (guint i = 0; wave != NULL && i < wave->members->len; i++)
    {
      struct member *member = wave->members->pdata[i];

      if (member->sequence != 0 && member->sequence <= sequence)
        member->announced = true;
    }
}
