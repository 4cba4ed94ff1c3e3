#include "instance/release.h"

#include "common/log.h"
#include "instance/records.h"

#include <stdio.h>
#include <string.h>

#define WRITE_TIMEOUT_MS 800

struct gr_release
gr_release_parse (const char *text)
{
  struct gr_release release;
  char rest;

  if (sscanf (text, "%" G_GINT64_FORMAT " %u%c", &release.epoch,
              &release.earlier_ms, &rest)
      != 2)
    return (struct gr_release){ 0 };
  release.announced = true;
  return release;
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  (void)context;
  if (error == NULL && !result->conditions_held)
    gr_log_event ("owner-release-superseded", NULL);
  if (error != NULL && error->kind != GR_ERROR_CANCELLED)
    gr_log_event ("owner-release-failed", "reason", error->message, NULL);
}

static void
announce (struct gr_metastore *store,
          const struct gr_release *release,
          struct gr_metastore_txn *txn)
{
  char text[48];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT " %u", release->epoch,
              release->earlier_ms);
  gr_log_event ("owner-released", "epoch_and_earlier_ms", text, NULL);
  gr_metastore_txn_put (txn, GR_RECORD_RELEASED, text, strlen (text), 0);
  gr_metastore_commit (store, txn, WRITE_TIMEOUT_MS,
                       (struct gr_metastore_reply){ write_done, NULL });
}

void
gr_release_announce (struct gr_metastore *store,
                     const struct gr_release *release)
{
  announce (store, release, gr_metastore_txn_create ());
}

void
gr_release_announce_after (struct gr_metastore *store,
                           const struct gr_release *release,
                           const char *key,
                           int64_t revision)
{
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  gr_metastore_txn_expect (txn, key, revision);
  announce (store, release, txn);
}
