#include "settings/process.h"

#include "common/log.h"

#include <string.h>
#include <unistd.h>

/* Reads a whole file as text. Prints the error and returns NULL if the file
 * cannot be read or contains a NUL byte. */
static char *
read_document (const char *file)
{
  GError *error = NULL;
  char *text;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &error))
    {
      g_printerr ("%s: %s\n", file, error->message);
      g_error_free (error);
      return NULL;
    }
  if (strlen (text) != length)
    {
      g_printerr ("%s: document: found a NUL byte at offset %zu, allowed: "
                  "UTF-8 text\n",
                  file, strlen (text));
      g_free (text);
      return NULL;
    }
  return text;
}

static bool
check_text (enum gr_document_kind kind, const char *file, const char *text)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  bool valid = gr_document_check (kind, text, problems);

  for (guint i = 0; i < problems->len; i++)
    g_printerr ("%s: %s\n", file, (const char *)problems->pdata[i]);
  g_ptr_array_unref (problems);
  return valid;
}

bool
gr_process_load (const char *file, struct gr_process_settings *settings)
{
  struct gr_error error = GR_ERROR_INIT;
  char *text = read_document (file);
  bool loaded = false;

  memset (settings, 0, sizeof *settings);
  if (text != NULL && check_text (GR_DOCUMENT_PROCESS, file, text))
    loaded = gr_document_process (text, settings, &error);
  g_free (text);
  return loaded;
}

bool
gr_instance_load (const char *file, struct gr_instance_settings *settings)
{
  struct gr_error error = GR_ERROR_INIT;
  char *text = read_document (file);
  bool loaded = false;

  memset (settings, 0, sizeof *settings);
  if (text != NULL && check_text (GR_DOCUMENT_INSTANCE, file, text))
    loaded = gr_document_instance (text, settings, &error);
  g_free (text);
  return loaded;
}

static void
print_settings (void)
{
  GString *out = g_string_new ("# Process file\n\n");

  gr_document_print_keys (GR_DOCUMENT_PROCESS, out);
  g_string_append (out, "\n# Instance file\n\n");
  gr_document_print_keys (GR_DOCUMENT_INSTANCE, out);
  g_string_append (out, "\n# Document platform\n\n");
  gr_document_print_keys (GR_DOCUMENT_PLATFORM, out);
  g_string_append (out, "\n# Document teams/NAME\n\n");
  gr_document_print_keys (GR_DOCUMENT_TEAM, out);
  g_print ("%s", out->str);
  g_string_free (out, TRUE);
}

void
gr_process_options_add (GOptionContext *context,
                        struct gr_process_options *options)
{
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &options->settings,
      "Process file", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_FILENAME, &options->check_settings,
      "Check a process file and exit", "FILE" },
    { "print-settings", 0, 0, G_OPTION_ARG_NONE, &options->print_settings,
      "Print all keys of all documents and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  g_option_context_add_main_entries (context, entries, NULL);
}

void
gr_process_options_clear (struct gr_process_options *options)
{
  g_free (options->settings);
  g_free (options->check_settings);
  memset (options, 0, sizeof *options);
}

static bool
parse_options (int argc,
               char **argv,
               const char *summary,
               const GOptionEntry *extra,
               struct gr_process_options *options)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  bool parsed;

  g_option_context_set_summary (context, summary);
  gr_process_options_add (context, options);
  if (extra != NULL)
    g_option_context_add_main_entries (context, extra, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error);
  if (!parsed)
    g_printerr ("%s\n", error->message);
  else if (argc > 1)
    g_printerr ("unexpected argument '%s'\n", argv[1]);
  g_clear_error (&error);
  g_option_context_free (context);
  return parsed && argc == 1;
}

GLogLevelFlags
gr_log_level_from_name (const char *name)
{
  if (g_str_equal (name, "debug"))
    return G_LOG_LEVEL_DEBUG;
  if (g_str_equal (name, "warning"))
    return G_LOG_LEVEL_WARNING;
  return G_LOG_LEVEL_INFO;
}

static void
check_instance_file (const char *file, int *exit_code)
{
  struct gr_instance_settings settings;

  if (gr_instance_load (file, &settings))
    gr_instance_settings_clear (&settings);
  else
    *exit_code = GR_EXIT_USAGE;
}

bool
gr_instance_start (int argc,
                   char **argv,
                   const char *binary,
                   const char *summary,
                   const char **file,
                   struct gr_instance_settings *settings,
                   int *exit_code)
{
  struct gr_process_options options = { 0 };
  bool started = false;

  memset (settings, 0, sizeof *settings);
  *exit_code = GR_EXIT_USAGE;
  if (!parse_options (argc, argv, summary, NULL, &options))
    {
      gr_process_options_clear (&options);
      return false;
    }
  if (options.check_settings != NULL)
    {
      *exit_code = 0;
      check_instance_file (options.check_settings, exit_code);
    }
  else if (!gr_process_options_handle (&options, binary, exit_code))
    {
      if (options.settings != NULL)
        *file = g_intern_string (options.settings);
      if (*file == NULL)
        g_printerr ("%s: --settings FILE is required\n", binary);
      else
        started = gr_instance_load (*file, settings);
      *exit_code = started ? 0 : GR_EXIT_USAGE;
    }
  gr_process_options_clear (&options);
  if (!started)
    return false;
  gr_log_init (binary, settings->instance);
  gr_log_set_descriptor (STDOUT_FILENO);
  gr_log_set_level (gr_log_level_from_name (settings->log_level));
  return true;
}

bool
gr_process_options_handle (const struct gr_process_options *options,
                           const char *binary,
                           int *exit_code)
{
  struct gr_process_settings settings;

  *exit_code = 0;
  if (options->version)
    g_print ("%s %s\n", binary, GR_VERSION);
  else if (options->print_settings)
    print_settings ();
  else if (options->check_settings == NULL)
    return false;
  else if (gr_process_load (options->check_settings, &settings))
    gr_process_settings_clear (&settings);
  else
    *exit_code = GR_EXIT_USAGE;
  return true;
}

/* Loads the process file given with --settings and initializes logging. */
static bool
load_settings (const struct gr_process_options *options,
               const char *binary,
               struct gr_process_settings *settings)
{
  if (options->settings == NULL)
    {
      g_printerr ("%s: --settings FILE is required\n", binary);
      return false;
    }
  if (!gr_process_load (options->settings, settings))
    return false;
  gr_log_init (binary, settings->instance);
  gr_log_set_level (gr_log_level_from_name (settings->log_level));
  return true;
}

bool
gr_process_start (int argc,
                  char **argv,
                  const char *binary,
                  const char *summary,
                  const GOptionEntry *extra,
                  struct gr_process_settings *settings,
                  int *exit_code)
{
  struct gr_process_options options = { 0 };
  bool started = false;

  memset (settings, 0, sizeof *settings);
  *exit_code = GR_EXIT_USAGE;
  if (parse_options (argc, argv, summary, extra, &options)
      && !gr_process_options_handle (&options, binary, exit_code))
    {
      started = load_settings (&options, binary, settings);
      *exit_code = started ? 0 : GR_EXIT_USAGE;
    }
  gr_process_options_clear (&options);
  return started;
}
