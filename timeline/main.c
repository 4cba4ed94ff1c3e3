#include "timeline/timeline.h"

#include <locale.h>

int
main (int argc, char **argv)
{
  setlocale (LC_ALL, "");
  return gr_timeline_run (argc, argv, stdout, stderr);
}
