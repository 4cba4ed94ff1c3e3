#include "common/mode.h"

#include <glib.h>

enum gr_mode
gr_mode_from_name (const char *name)
{
  if (g_strcmp0 (name, "on") == 0)
    return GR_MODE_ON;
  return g_strcmp0 (name, "observe") == 0 ? GR_MODE_OBSERVE : GR_MODE_OFF;
}
