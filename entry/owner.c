#include "entry/owner.h"

#include "route/spread.h"

/* Retry-after time. Shorter than the 9 s lease after which another scheduler
 * takes over a shard, because most changes of owner are planned and faster. */
#define RETRY_MS 1000

static int64_t
spread_retry_ms (struct gr_entry *entry)
{
  return gr_retry_delay_ms (RETRY_MS, 1, 1, entry->random);
}

bool
gr_owner_call (struct gr_entry *entry,
               const char *shard,
               const char *method,
               struct gr_packer *body,
               void (*done) (const msgpack_object *body,
                             const struct gr_error *error,
                             void *context),
               void *context,
               struct gr_error *error)
{
  uint64_t epoch;
  const char *address = gr_members_shard_owner (
      entry->members, shard, gr_clock_now_ms (entry->clock), &epoch);

  if (address == NULL)
    return gr_error_set_retry (error, GR_ERROR_NO_OWNER,
                               spread_retry_ms (entry),
                               "shard \"%s\" currently has no owner", shard);
  gr_rpc_call (gr_peers_client (entry->peers, address), method, body,
               GR_OWNER_TIMEOUT_MS, done, context);
  return true;
}

struct gr_error
gr_owner_translate_error (struct gr_entry *entry,
                          const struct gr_error *error,
                          bool reads_only)
{
  struct gr_error result = *error;
  bool no_effect = error->kind == GR_ERROR_NO_TARGET;

  if (reads_only
      && gr_error_info (error->kind)->run_state == GR_RUN_MAY_HAVE_RUN)
    no_effect = true;
  if (no_effect)
    {
      result.kind = GR_ERROR_NO_OWNER;
      result.retry_after_ms = spread_retry_ms (entry);
    }
  return result;
}
