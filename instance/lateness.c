#include "instance/lateness.h"

#include <glib.h>

/* Answers wait for the main loop several times: to be read, and behind the
 * handling of others. */
#define LOOP_FACTOR 4

/* Weights of the newest sample, and the factor of the deviation, as in the
 * retransmission timer of TCP (RFC 6298). Workers answer in parallel, so there
 * are many more samples in a round trip than in TCP and they count less. */
#define RESPONSE_WEIGHT (1.0 / 32)
#define DEVIATION_WEIGHT (1.0 / 16)
#define DEVIATION_FACTOR 4

/* Leases of runs are extended for 6 s and more; longer timeouts would leave no
 * time to poll again. */
#define MAX_EXTRA_MS 2000

#define OVERLOADED_LOOP_MS 150
#define OVERLOADED_RESPONSE_MS 250

void
gr_lateness_add_loop (struct gr_lateness *lateness, int64_t late_ms)
{
  /* A quarter less per call, so that one punctual tick does not hide earlier
   * lateness. */
  lateness->loop_ms = MAX (late_ms, lateness->loop_ms * 3 / 4);
}

void
gr_lateness_add_response (struct gr_lateness *lateness, int64_t time_ms)
{
  double deviation = ABS ((double)time_ms - lateness->response_ms);

  if (!lateness->has_response)
    {
      lateness->has_response = true;
      lateness->response_ms = (double)time_ms;
      lateness->deviation_ms = (double)time_ms / 2;
      return;
    }
  lateness->deviation_ms +=
      (deviation - lateness->deviation_ms) * DEVIATION_WEIGHT;
  lateness->response_ms +=
      ((double)time_ms - lateness->response_ms) * RESPONSE_WEIGHT;
}

uint32_t
gr_lateness_timeout_ms (const struct gr_lateness *lateness, uint32_t base_ms)
{
  int64_t response_ms = (int64_t)(lateness->response_ms
                                  + lateness->deviation_ms * DEVIATION_FACTOR);
  int64_t extra_ms = MAX (lateness->loop_ms * LOOP_FACTOR, response_ms);

  return base_ms + (uint32_t)MIN (extra_ms, MAX_EXTRA_MS);
}

bool
gr_lateness_is_overloaded (const struct gr_lateness *lateness)
{
  return lateness->loop_ms >= OVERLOADED_LOOP_MS
         || lateness->response_ms >= OVERLOADED_RESPONSE_MS;
}
