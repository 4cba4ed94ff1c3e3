#include "settings/process.h"
#include "timeline/timeline.h"

#define EXIT_VIOLATIONS 1

struct options
{
  struct gr_process_options process;
  struct gr_timeline_filter filter;
  gboolean json;
  gboolean html;
  gboolean topics;
  char **files;
};

static GOptionContext *
make_context (struct options *options)
{
  const GOptionEntry entries[] = {
    { "request", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->filter.requests,
      "Print only events of this request; may be repeated", "KEY" },
    { "job", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->filter.jobs,
      "Print only events of this job; may be repeated", "ID" },
    { "shard", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->filter.shards,
      "Print only events of this shard; may be repeated", "NAME" },
    { "event", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->filter.events,
      "Print only events of this name; may be repeated", "NAME" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON lines",
      NULL },
    { "html", 0, 0, G_OPTION_ARG_NONE, &options->html,
      "Print an HTML page with a column for each process", NULL },
    { "matters", 0, 0, G_OPTION_ARG_NONE, &options->topics,
      "Print an HTML page with a column for each topic of a day on the "
      "platform",
      NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &options->files,
      NULL, "FILE..." },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);

  g_option_context_set_summary (
      context, "Merges the logs of all processes in order of hybrid logical "
               "time, and checks that\nno effect precedes its cause.");
  g_option_context_set_description (
      context,
      "FILE is the standard error output of a process from its start to its "
      "end, or the\noutput of fleetbench --log; - is standard input. The "
      "check covers all events,\nincluding those that the filters exclude.\n\n"
      "Exit codes: 0 if the order is correct, 1 if it is not (violations are "
      "printed on\nstandard error), 2 for wrong arguments and files that "
      "cannot be read.\n\n"
      "Examples:\n"
      "  geraniumrack-timeline entry-1.log scheduler-1.log\n"
      "  geraniumrack-timeline --job dc1.clinics.scan-1 *.log\n"
      "  geraniumrack-timeline --html *.log > timeline.html\n"
      "  geraniumrack-timeline --matters --job 5c0e7a21d94b36f8 day.txt "
      "> day.html\n");
  g_option_context_add_main_entries (context, entries, NULL);
  gr_process_options_add (context, &options->process);
  return context;
}

static void
options_clear (struct options *options)
{
  gr_process_options_clear (&options->process);
  g_strfreev (options->filter.requests);
  g_strfreev (options->filter.jobs);
  g_strfreev (options->filter.shards);
  g_strfreev (options->filter.events);
  g_strfreev (options->files);
}

static int
report_violations (struct gr_timeline *timeline, FILE *err)
{
  GPtrArray *violations = gr_timeline_check (timeline);
  GPtrArray *dropped = gr_timeline_dropped_events (timeline);
  int exit_code = violations->len == 0 ? 0 : EXIT_VIOLATIONS;

  for (guint i = 0; i < violations->len; i++)
    fprintf (err, "%s\n", (const char *)violations->pdata[i]);
  for (guint i = 0; i < dropped->len; i++)
    fprintf (err,
             "geraniumrack-timeline: lines of %s were dropped; its effects "
             "are not checked\n",
             (const char *)dropped->pdata[i]);
  if (gr_timeline_skipped (timeline) > 0)
    fprintf (err, "geraniumrack-timeline: %u lines are not log records\n",
             gr_timeline_skipped (timeline));
  g_ptr_array_unref (violations);
  g_ptr_array_unref (dropped);
  return exit_code;
}

static int
run_files (const struct options *options, FILE *out, FILE *err)
{
  struct gr_timeline *timeline;
  struct gr_error error = GR_ERROR_INIT;
  bool added = true;
  int exit_code = GR_EXIT_USAGE;

  if (options->files == NULL
      || options->json + options->html + options->topics > 1)
    {
      fprintf (err, "geraniumrack-timeline: %s; see --help\n",
               options->files == NULL
                   ? "no FILE given"
                   : "--json, --html and --matters are mutually exclusive");
      return GR_EXIT_USAGE;
    }
  timeline = gr_timeline_create ();
  for (guint i = 0; options->files[i] != NULL && added; i++)
    added = gr_timeline_add_file (timeline, options->files[i], &error);
  if (!added)
    fprintf (err, "geraniumrack-timeline: %s\n", error.message);
  else
    {
      if (options->html)
        gr_timeline_print_html (timeline, &options->filter, out);
      else if (options->topics)
        gr_timeline_print_topics (timeline, &options->filter, out);
      else if (options->json)
        gr_timeline_print_json (timeline, &options->filter, out);
      else
        gr_timeline_print_text (timeline, &options->filter, out);
      exit_code = report_violations (timeline, err);
    }
  gr_timeline_destroy (timeline);
  return exit_code;
}

int
gr_timeline_run (int argc, char **argv, FILE *out, FILE *err)
{
  struct options options = { 0 };
  GOptionContext *context = make_context (&options);
  char **strv = g_new0 (char *, (gsize)argc + 1);
  GError *error = NULL;
  int exit_code;

  for (int i = 0; i < argc; i++)
    strv[i] = g_strdup (argv[i]);
  if (!g_option_context_parse_strv (context, &strv, &error))
    {
      fprintf (err, "geraniumrack-timeline: %s\n", error->message);
      exit_code = GR_EXIT_USAGE;
    }
  else if (!gr_process_options_handle (&options.process,
                                       "geraniumrack-timeline", &exit_code))
    exit_code = run_files (&options, out, err);
  g_clear_error (&error);
  g_option_context_free (context);
  g_strfreev (strv);
  options_clear (&options);
  return exit_code;
}
