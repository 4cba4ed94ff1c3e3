#include "route/spread.h"

/* Minimum width of the range of the random part. */
#define MIN_WIDTH_MS 200

int64_t
gr_retry_delay_ms (int64_t base_ms,
                   uint32_t refused,
                   double rate_per_s,
                   GRand *random)
{
  double width_ms = GR_RETRY_DELAY_MAX_MS;

  if (rate_per_s > 0)
    width_ms = 1000.0 * refused / rate_per_s;
  width_ms = CLAMP (width_ms, MIN_WIDTH_MS, GR_RETRY_DELAY_MAX_MS);
  return MIN (GR_RETRY_DELAY_MAX_MS,
              base_ms + (int64_t)(g_rand_double (random) * width_ms));
}
