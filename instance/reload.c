#include "instance/reload.h"

#include "common/log.h"

#include <glib/gstdio.h>

static void
replace (char **text, const char *changed)
{
  g_free (*text);
  *text = g_strdup (changed);
}

bool
gr_reload_apply (struct gr_instance_settings *settings,
                 const struct gr_instance_settings *changed)
{
  const struct
  {
    const char *key;
    const char *present;
    const char *wanted;
  } fixed[] = {
    { "name", settings->instance, changed->instance },
    { "data_centre", settings->data_centre, changed->data_centre },
    { "client_address", settings->client_address, changed->client_address },
    { "ready_address", settings->ready_address, changed->ready_address },
    { "metrics_address", settings->metrics_address, changed->metrics_address },
    { "store_address", settings->store_address, changed->store_address },
    { "advice_address", settings->advice_address, changed->advice_address },
    { "machines_address", settings->machines_address,
      changed->machines_address },
  };
  bool same = true;

  for (size_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    if (g_strcmp0 (fixed[i].present, fixed[i].wanted) != 0)
      {
        gr_log_warning ("setting-needs-restart", "key", fixed[i].key, "present",
                        fixed[i].present, "wanted", fixed[i].wanted, NULL);
        same = false;
      }
  settings->revoke_ms = changed->revoke_ms;
  settings->grace_s = changed->grace_s;
  settings->max_hold_ms = changed->max_hold_ms;
  settings->gang_wait_ms = changed->gang_wait_ms;
  settings->reclaim_ms = changed->reclaim_ms;
  settings->checkpoint_s = changed->checkpoint_s;
  settings->state_kept_s = changed->state_kept_s;
  settings->heartbeat_ms = changed->heartbeat_ms;
  settings->cpu_share = changed->cpu_share;
  settings->far_factor = changed->far_factor;
  settings->evacuate_ms = changed->evacuate_ms;
  settings->stop_ms = changed->stop_ms;
  settings->state_wait_ms = changed->state_wait_ms;
  replace (&settings->run_times, changed->run_times);
  replace (&settings->speeds, changed->speeds);
  replace (&settings->objectives, changed->objectives);
  replace (&settings->budget, changed->budget);
  replace (&settings->log_level, changed->log_level);
  return same;
}

bool
gr_reload_file_changed (struct gr_reload_watch *watch)
{
  GStatBuf entry;
  int64_t modified_us = 0;
  int64_t size_bytes = -1;
  bool changed;

  if (g_stat (watch->file, &entry) == 0)
    {
      modified_us = (int64_t)entry.st_mtim.tv_sec * G_USEC_PER_SEC
                    + entry.st_mtim.tv_nsec / 1000;
      size_bytes = entry.st_size;
    }
  changed =
      modified_us != watch->modified_us || size_bytes != watch->size_bytes;
  watch->modified_us = modified_us;
  watch->size_bytes = size_bytes;
  return changed;
}
