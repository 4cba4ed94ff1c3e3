#include "bench/bench.h"

#include "settings/document.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const bench_policy_names[] = { "default", "fifo", "best-fit" };

static void
exit_with_error (const char *path, const char *message)
{
  g_printerr ("bench: %s: %s\n", path, message);
  exit (1);
}

static void
load_account (struct bench_deployment *deployment,
              const char *directory,
              const char *file)
{
  g_autofree char *path = g_build_filename (directory, file, NULL);
  g_autofree char *name = g_strndup (file, strlen (file) - strlen (".ini"));
  g_autofree char *text = NULL;
  struct gr_error error = GR_ERROR_INIT;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    exit_with_error (path, "cannot be read");
  if (deployment->n_accounts == BENCH_MAX_ACCOUNTS)
    exit_with_error (path, "too many accounts");
  if (!gr_document_team (
          name, text, &deployment->accounts[deployment->n_accounts++], &error))
    exit_with_error (path, error.message);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

void
bench_deployment_load (struct bench_deployment *deployment,
                       const char *etc,
                       const char *name)
{
  g_autofree char *directory = g_build_filename (etc, name, "teams", NULL);
  g_autoptr (GPtrArray) files = g_ptr_array_new_with_free_func (g_free);
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *file;

  memset (deployment, 0, sizeof *deployment);
  if (dir == NULL)
    exit_with_error (directory, "cannot be opened");
  while ((file = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (file, ".ini"))
      g_ptr_array_add (files, g_strdup (file));
  g_dir_close (dir);
  g_ptr_array_sort (files, compare_names);
  for (guint i = 0; i < files->len; i++)
    load_account (deployment, directory, files->pdata[i]);
  g_strlcpy (deployment->name, name, sizeof deployment->name);
  deployment->cores = strcmp (name, "himal") == 0 ? 60 : 130;
}

const struct gr_account_settings *
bench_find_account (const struct bench_deployment *deployment,
                    enum gr_priority priority)
{
  for (uint32_t i = 0; i < deployment->n_accounts; i++)
    if (deployment->accounts[i].priority == priority)
      return &deployment->accounts[i];
  exit_with_error (deployment->name, "no account has the required priority");
  return NULL;
}

static const char *
text_or_dash (const char *text)
{
  return text != NULL ? text : "-";
}

void
bench_row (const struct bench_case *bench_case,
           const char *measure,
           double value,
           const char *unit)
{
  printf ("%s\t%s\t%s\t%s\t%u\t%.4g\t%s\n", measure,
          text_or_dash (bench_case->deployment),
          text_or_dash (bench_case->load), text_or_dash (bench_case->policy),
          bench_case->seed, value, unit);
}

/* --- Series ------------------------------------------------------------- */

GArray *
bench_series_create (void)
{
  return g_array_new (FALSE, FALSE, sizeof (double));
}

void
bench_series_add (GArray *series, double value)
{
  g_array_append_val (series, value);
}

double
bench_series_mean (const GArray *series)
{
  double sum = 0;

  for (guint i = 0; i < series->len; i++)
    sum += g_array_index (series, double, i);
  return series->len > 0 ? sum / series->len : 0;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

double
bench_series_quantile (GArray *series, double quantile)
{
  guint index;

  if (series->len == 0)
    return 0;
  g_array_sort (series, compare_doubles);
  index = (guint)ceil (quantile * series->len);
  return g_array_index (series, double, index > 0 ? index - 1 : 0);
}

/* --- Random numbers ----------------------------------------------------- */

double
bench_exponential (GRand *rand, double mean)
{
  return -mean * log (1.0 - g_rand_double (rand));
}

double
bench_log_normal (GRand *rand, double median, double sigma)
{
  double radius = sqrt (-2.0 * log (1.0 - g_rand_double (rand)));
  double normal = radius * cos (2.0 * G_PI * g_rand_double (rand));

  return median * exp (sigma * normal);
}
