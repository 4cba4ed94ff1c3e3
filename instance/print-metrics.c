/* Prints docs/metrics.md; used by "make docs". */
#include "instance/metrics.h"

int
main (void)
{
  GString *out = g_string_new (NULL);

  gr_metrics_print_reference (out);
  g_print ("%s", out->str);
  g_string_free (out, TRUE);
  return 0;
}
