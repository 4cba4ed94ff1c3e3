/* Prints the content of docs/settings.md; run by "make docs". */
#include "settings/print.h"

int
main (void)
{
  GString *out = g_string_new (NULL);

  gr_document_print_reference (out);
  g_print ("%s", out->str);
  g_string_free (out, TRUE);
  return 0;
}
