#include "instance/former-process.h"

#include "common/log.h"
#include "steps/tenure.h"

#include <string.h>

#define CALL_TIMEOUT_MS 800

static void
lease_end_done (const struct gr_metastore_result *result,
                const struct gr_error *error,
                void *context)
{
  (void)result;
  (void)context;
  if (error != NULL && error->kind != GR_ERROR_CANCELLED)
    gr_log_event ("former-lease-end-failed", "reason", error->message, NULL);
}

/* Ends the lease that the owner's record names, if the record is that of this
 * instance in this epoch. */
static void
end_lease (struct gr_metastore *store,
           const struct gr_mirror *mirror,
           const char *instance,
           int64_t epoch)
{
  g_autofree char *start =
      g_strdup_printf ("%s %" G_GINT64_FORMAT " ", instance, epoch);
  const char *owner;
  gint64 lease;

  if (gr_mirror_owner (mirror, &owner) == 0 || owner == NULL
      || !g_str_has_prefix (owner, start)
      || !g_ascii_string_to_signed (owner + strlen (start), 10, 1, INT64_MAX,
                                    &lease, NULL))
    return;
  gr_log_event ("former-lease-ended", "owner", owner, NULL);
  gr_metastore_lease_revoke (
      store, lease, CALL_TIMEOUT_MS,
      (struct gr_metastore_reply){ lease_end_done, NULL });
}

void
gr_former_process_release (struct gr_metastore *store,
                           const struct gr_mirror *mirror,
                           const char *instance,
                           const char *process)
{
  const struct gr_epoch_record *last = gr_mirror_epoch_record (mirror);
  struct gr_release known = gr_mirror_released (mirror);
  struct gr_release release = { .earlier_ms = GR_OWNER_ISOLATION_MS };

  if (process == NULL || last->epoch < 1)
    return;
  if (g_strcmp0 (last->process, process) == 0)
    release.epoch = last->epoch;
  else if (g_strcmp0 (last->former_process, process) == 0)
    release.epoch = last->epoch - 1;
  else
    return;
  end_lease (store, mirror, instance, release.epoch);
  if (known.announced && known.epoch >= release.epoch)
    return;
  if (known.announced && known.epoch == release.epoch - 1)
    release.earlier_ms = known.earlier_ms;
  gr_release_announce_after (store, &release, GR_RECORD_RELEASED,
                             gr_mirror_released_revision (mirror));
}
