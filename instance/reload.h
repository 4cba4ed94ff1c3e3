/* Taking over of a settings file that has changed while the process runs. */
#pragma once

#include "settings/document.h"

#include <stdbool.h>

/* Copies what can change while the process runs: bounds, times and the log
 * level; those that the owner's core uses hold from the next owner on. Names
 * and addresses stay. False if one of these differs, which needs a restart. */
bool gr_reload_take (struct gr_instance_settings *settings,
                     const struct gr_instance_settings *changed);

/* The file was written since the last call, or cannot be read any more. The
 * platform may change it without a signal. */
struct gr_reload_watch
{
  const char *file;
  int64_t written_us;
  int64_t size_bytes;
};
bool gr_reload_is_due (struct gr_reload_watch *watch);
