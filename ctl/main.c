#include "ctl/ctl.h"

#include <locale.h>

int
main (int argc, char **argv)
{
  setlocale (LC_ALL, "");
  return gr_ctl_run (argc, argv, stdout, stderr);
}
