/* Applies changes of the settings file while the process runs. */
#pragma once

#include "settings/document.h"

#include <stdbool.h>

/* Copies the settings that can change while the process runs: bounds, times
 * and the log level. Those that the owner's core uses take effect when an
 * instance next becomes owner. Names and addresses keep their values. Returns
 * false if one of these differs in changed, which needs a restart. */
bool gr_reload_apply (struct gr_instance_settings *settings,
                      const struct gr_instance_settings *changed);

/* State of a watched settings file; all zero before the first check except for
 * file. The platform may change the file without sending a signal, so it is
 * checked periodically. */
struct gr_reload_watch
{
  const char *file;
  int64_t modified_us;
  int64_t size_bytes;
};
/* Returns true if the file was written, or has become unreadable, since the
 * last call. The first call always returns true. */
bool gr_reload_file_changed (struct gr_reload_watch *watch);
