#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct
{
  const char *name;
  void (*run) (const struct bench_deployment *deployment, uint32_t seed);
} benchmarks[] = {
  { "completion", bench_completion }, { "peak", bench_peak },
  { "blocking", bench_blocking },     { "reclaim", bench_reclaim },
  { "limits", bench_limits },         { "executors", bench_executors },
  { "speed", bench_speed },           { "calls", bench_calls },
};

int
main (int argc, char **argv)
{
  g_autofree char *etc = g_strdup ("etc");
  g_autofree char *part = NULL;
  g_autofree char *name = g_strdup ("cedar");
  int seed = 1;
  GOptionEntry options[] = {
    { "etc", 0, 0, G_OPTION_ARG_FILENAME, &etc,
      "Directory of the sample settings", "DIR" },
    { "part", 0, 0, G_OPTION_ARG_STRING, &part, "Benchmark to run", "NAME" },
    { "deployment", 0, 0, G_OPTION_ARG_STRING, &name, "cedar or himal",
      "NAME" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- measure the scheduling and routing policies");
  g_autoptr (GError) error = NULL;
  struct bench_deployment deployment;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("bench: %s\n", error->message);
      return 2;
    }
  bench_deployment_load (&deployment, etc, name);
  for (size_t i = 0; i < G_N_ELEMENTS (benchmarks); i++)
    if (g_strcmp0 (part, benchmarks[i].name) == 0)
      {
        benchmarks[i].run (&deployment, (uint32_t)seed);
        return 0;
      }
  g_printerr ("bench: --part must be one of");
  for (size_t i = 0; i < G_N_ELEMENTS (benchmarks); i++)
    g_printerr (" %s", benchmarks[i].name);
  g_printerr ("\n");
  return 2;
}
