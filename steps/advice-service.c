#include "steps/advice-service.h"

#include <glib.h>

/* While calls are short, this much work is sent ahead, so that the service does
 * not idle during a round trip. */
#define PIPELINED_WORK_MS 250
#define MAX_PIPELINED_CALLS 4

/* The platform's service accepts this many waiting calls of a machine. */
#define SERVICE_QUEUE_CALLS 32

/* Least work that is assumed for a call: time for a round trip. */
#define MIN_WORK_MS 20

/* A call is overdue after this multiple of its expected time and this margin.
 * The margin covers a pause of this process or of the service. */
#define OVERDUE_FACTOR 2
#define OVERDUE_MARGIN_MS 1000

/* The time after which a call is overdue doubles with each one that was, so
 * that it exceeds any delay before many calls wait at the service. */
#define MAX_DOUBLINGS 6

/* Pause after a call that failed or was rejected. */
#define FAILURE_PAUSE_MS 300

/* Bounds the effect of one answer; the times of calls may be unknown. */
#define MAX_SLOWNESS 5000.0

/* Weight of an answer that was faster than expected. Slower ones count at once,
 * since too short a time causes calls that are not needed. */
#define FASTER_WEIGHT 0.25

/* Stands for all calls of former processes of this machine. */
#define OTHERS_NUMBER 0

enum call_state
{
  CALL_EXPECTED,
  CALL_OVERDUE,
  CALL_FAILED, /* it has ended, but the service may handle it until due_ms */
};

struct call
{
  uint32_t number;
  enum call_state state;
  uint32_t work_ms;
  int64_t sent_ms;
  int64_t due_ms; /* when it becomes overdue */
};

struct gr_advice_service
{
  GArray *calls; /* struct call, in the order in which they were sent */
  uint32_t last_number;
  uint32_t overdue_in_a_row; /* since the last answer */
  int64_t answered_ms;       /* time of the last answer; 0: none */
  int64_t paused_until_ms;
  double slowness;
};

struct gr_advice_service *
gr_advice_service_create (void)
{
  struct gr_advice_service *service = g_new0 (struct gr_advice_service, 1);

  service->calls = g_array_new (FALSE, FALSE, sizeof (struct call));
  service->slowness = 1;
  return service;
}

void
gr_advice_service_destroy (struct gr_advice_service *service)
{
  if (service == NULL)
    return;
  g_array_unref (service->calls);
  g_free (service);
}

static struct call *
get_call (const struct gr_advice_service *service, guint i)
{
  return &g_array_index (service->calls, struct call, i);
}

/* Returns the time that the service needs for all calls that it may have. */
static int64_t
expected_work_ms (const struct gr_advice_service *service, int64_t now_ms)
{
  double work_ms = 0;

  for (guint i = 0; i < service->calls->len; i++)
    {
      const struct call *call = get_call (service, i);

      if (call->state != CALL_FAILED || now_ms < call->due_ms)
        work_ms += call->work_ms * service->slowness;
    }
  return (int64_t)work_ms;
}

static uint32_t
count_calls (const struct gr_advice_service *service, enum call_state state)
{
  uint32_t n = 0;

  for (guint i = 0; i < service->calls->len; i++)
    n += get_call (service, i)->state == state;
  return n;
}

bool
gr_advice_service_may_call (const struct gr_advice_service *service,
                            int64_t now_ms)
{
  uint32_t expected = count_calls (service, CALL_EXPECTED);
  uint32_t overdue = count_calls (service, CALL_OVERDUE);

  if (now_ms < service->paused_until_ms
      || expected + overdue >= GR_ADVICE_MAX_CALLS)
    return false;
  if (expected == 0)
    return true;
  return overdue == 0 && expected < MAX_PIPELINED_CALLS
         && expected_work_ms (service, now_ms) <= PIPELINED_WORK_MS;
}

static void
remove_failed (struct gr_advice_service *service, int64_t now_ms)
{
  for (guint i = service->calls->len; i-- > 0;)
    {
      const struct call *call = get_call (service, i);

      if (call->state == CALL_FAILED && now_ms >= call->due_ms)
        g_array_remove_index (service->calls, i);
    }
}

uint32_t
gr_advice_service_begin (struct gr_advice_service *service,
                         uint32_t work_ms,
                         int64_t now_ms)
{
  struct call call = { .number = ++service->last_number,
                       .state = CALL_EXPECTED,
                       .work_ms = MAX (work_ms, MIN_WORK_MS),
                       .sent_ms = now_ms };
  int64_t limit_ms;

  remove_failed (service, now_ms);
  limit_ms = OVERDUE_FACTOR
                 * (expected_work_ms (service, now_ms)
                    + (int64_t)(call.work_ms * service->slowness))
             + OVERDUE_MARGIN_MS;
  limit_ms <<= MIN (service->overdue_in_a_row, MAX_DOUBLINGS);
  call.due_ms = now_ms + MIN (limit_ms, GR_ADVICE_CALL_LIMIT_MS);
  g_array_append_val (service->calls, call);
  return call.number;
}

/* The service has handled the call since it was sent or, if it had an earlier
 * one then, since the answer to that. */
static void
learn_slowness (struct gr_advice_service *service,
                const struct call *call,
                int64_t now_ms)
{
  int64_t took_ms = now_ms - MAX (call->sent_ms, service->answered_ms);
  double slowness = CLAMP ((double)took_ms / call->work_ms, 1.0, MAX_SLOWNESS);

  if (slowness > service->slowness)
    service->slowness = slowness;
  else
    service->slowness += (slowness - service->slowness) * FASTER_WEIGHT;
}

static bool
find_call (const struct gr_advice_service *service,
           uint32_t number,
           guint *index)
{
  for (*index = 0; *index < service->calls->len; (*index)++)
    if (get_call (service, *index)->number == number)
      return true;
  return false;
}

/* Calls of a former process of this machine may fill the service's queue. The
 * next call may have to wait for all of them. */
static void
expect_full_queue (struct gr_advice_service *service,
                   uint32_t work_ms,
                   int64_t now_ms)
{
  struct call others = { .number = OTHERS_NUMBER,
                         .state = CALL_FAILED,
                         .work_ms = work_ms * SERVICE_QUEUE_CALLS,
                         .sent_ms = now_ms };
  guint i;

  others.due_ms = now_ms + (int64_t)(others.work_ms * service->slowness);
  if (find_call (service, OTHERS_NUMBER, &i))
    *get_call (service, i) = others;
  else
    g_array_append_val (service->calls, others);
}

static void
pause_calls (struct gr_advice_service *service, int64_t for_ms, int64_t now_ms)
{
  service->paused_until_ms = now_ms + MAX (for_ms, FAILURE_PAUSE_MS);
}

void
gr_advice_service_end (struct gr_advice_service *service,
                       uint32_t number,
                       enum gr_advice_result result,
                       int64_t now_ms)
{
  struct call call;
  guint i;

  if (!find_call (service, number, &i))
    return;
  call = *get_call (service, i);
  if (result == GR_ADVICE_FAILED)
    {
      get_call (service, i)->state = CALL_FAILED;
      pause_calls (service, 0, now_ms);
      return;
    }
  g_array_remove_index (service->calls, i);
  if (result == GR_ADVICE_ANSWERED)
    {
      learn_slowness (service, &call, now_ms);
      service->answered_ms = now_ms;
      service->overdue_in_a_row = 0;
      return;
    }
  if (result == GR_ADVICE_OVERLOADED)
    expect_full_queue (service, call.work_ms, now_ms);
  pause_calls (service,
               result == GR_ADVICE_OVERLOADED
                   ? (int64_t)(call.work_ms * service->slowness)
                   : 0,
               now_ms);
}

uint32_t
gr_advice_service_take_overdue (struct gr_advice_service *service,
                                int64_t now_ms)
{
  for (guint i = 0; i < service->calls->len; i++)
    {
      struct call *call = get_call (service, i);

      if (call->state != CALL_EXPECTED || now_ms < call->due_ms)
        continue;
      call->state = CALL_OVERDUE;
      service->overdue_in_a_row++;
      return call->number;
    }
  return 0;
}

double
gr_advice_service_slowness (const struct gr_advice_service *service)
{
  return service->slowness;
}
