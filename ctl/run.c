#include "ctl/ctl.h"

#include "ctl/commands.h"
#include "settings/process.h"

#include <string.h>

#define MAX_TIMEOUT_S 86400
#define NO_TIMEOUT (-1.0) /* --timeout was not given */
#define DEFAULT_ENTRY "http://127.0.0.1:8080"

/* clang-format off */
const struct gr_ctl_command gr_ctl_commands[] = {
  { "accounts list", "", 0, 0, gr_ctl_accounts_list,
    "List client accounts and the accelerators they use" },
  { "accounts show", "NAME", 1, 1, gr_ctl_accounts_show,
    "Show an account" },
  { "accounts set", "NAME KEY=VALUE...", 2, -1, gr_ctl_accounts_set,
    "Set keys of an account's document; guarantee.NAME.KEY for guarantees" },
  { "accounts diff", "NAME FILE|REVISION [FILE|REVISION]", 2, 3,
    gr_ctl_accounts_diff,
    "Compare an account's document with a file or revision" },
  { "accounts history", "NAME", 1, 1, gr_ctl_accounts_history,
    "List the last versions of an account's document" },
  { "settings list", "[PREFIX]", 0, 1, gr_ctl_settings_list,
    "List paths and their revisions" },
  { "settings get", "PATH", 1, 1, gr_ctl_settings_get,
    "Print a document" },
  { "settings set", "PATH FILE", 2, 2, gr_ctl_settings_set,
    "Replace a document" },
  { "settings edit-from-file", "PATH FILE", 2, 2, gr_ctl_settings_edit,
    "Set the keys in FILE and keep all others" },
  { "settings delete", "PATH", 1, 1, gr_ctl_settings_delete,
    "Delete a document" },
  { "settings diff", "PATH FILE|REVISION [FILE|REVISION]", 2, 3,
    gr_ctl_settings_diff,
    "Compare a document with a file or revision" },
  { "settings history", "PATH", 1, 1, gr_ctl_settings_history,
    "List the last versions of a document" },
  { "settings watch", "[PREFIX]", 0, 1, gr_ctl_settings_watch,
    "Print changes until interrupted or until --timeout expires" },
  { "jobs submit", "NAME=VALUE...", 1, -1, gr_ctl_jobs_submit,
    "Submit a job and print its id; spec=@FILE reads the spec from a file" },
  { "jobs show", "ID", 1, 1, gr_ctl_jobs_show,
    "Show a job" },
  { "jobs list", "[account=NAME] [state=STATE] [limit=N]", 0, 3,
    gr_ctl_jobs_list,
    "List jobs" },
  { "jobs wait", "ID", 1, 1, gr_ctl_jobs_wait,
    "Wait until a job has ended" },
  { "jobs cancel", "ID", 1, 1, gr_ctl_jobs_cancel,
    "Cancel a job" },
  { "status", "", 0, 0, gr_ctl_status,
    "Print a summary; exit code 0 only if the system is healthy" },
  { "members", "", 0, 0, gr_ctl_members,
    "List entry and scheduler processes" },
  { "shards", "", 0, 0, gr_ctl_shards,
    "List shards and their owners" },
  { "workers", "[SHARD]", 0, 1, gr_ctl_workers,
    "List workers" },
  { "drain", "entry | shard NAME", 1, 2, gr_ctl_drain,
    "Stop an entry gracefully, or hand a shard over to another scheduler" },
};
/* clang-format on */

const size_t gr_ctl_n_commands = G_N_ELEMENTS (gr_ctl_commands);

static const char *const examples =
    "Examples:\n"
    "  geraniumrackctl --entry http://10.0.0.1:8080 --entry "
    "http://10.0.0.2:8080 status\n"
    "  geraniumrackctl settings set teams/clinics clinics.ini\n"
    "  geraniumrackctl settings set platform platform.ini --revision 41\n"
    "  geraniumrackctl settings diff teams/clinics clinics.ini\n"
    "  geraniumrackctl accounts set clinics rate_per_s=250 "
    "guarantee.imaging.count=2\n"
    "  geraniumrackctl jobs submit account=clinics key=scan-1 workers=2 "
    "accelerators_per_worker=8 run_ms=60000 spec=@scan.txt\n"
    "  geraniumrackctl --timeout 600 jobs wait dc1.clinics.scan-1\n"
    "  geraniumrackctl --json jobs list account=clinics state=running\n"
    "  geraniumrackctl drain shard dc1\n";

struct arguments
{
  struct gr_process_options process;
  char **entries;
  char *token_file;
  char *ca_file;
  char **words; /* the command and its arguments */
};

/* Appends the list of exit codes, generated from the table of error kinds. */
static void
append_exit_codes (GString *out)
{
  g_string_append (out, "Exit codes:\n"
                        "  0   success\n"
                        "  1   jobs wait: the job failed or was cancelled\n");
  for (int code = 2; code <= 70; code++)
    {
      bool any = false;

      for (int kind = 1; kind < GR_ERROR_N_KINDS; kind++)
        {
          const struct gr_error_info *info =
              gr_error_info ((enum gr_error_kind)kind);

          if (info->exit_code != code)
            continue;
          if (any)
            g_string_append_printf (out, ", %s", info->name);
          else
            g_string_append_printf (out, "  %-3d %s", code, info->name);
          any = true;
        }
      if (any)
        g_string_append_c (out, '\n');
    }
  g_string_append (out, "jobs wait also returns 5 if the job was refused and 8 "
                        "if it may have run.\nLists also return 7 if the items "
                        "of a shard are missing.\n");
}

static char *
description (void)
{
  GString *out = g_string_new ("Commands:\n");

  for (size_t i = 0; i < gr_ctl_n_commands; i++)
    g_string_append_printf (
        out, "  %s%s%s\n      %s\n", gr_ctl_commands[i].name,
        gr_ctl_commands[i].arguments[0] == '\0' ? "" : " ",
        gr_ctl_commands[i].arguments, gr_ctl_commands[i].doc);
  g_string_append_printf (out, "\n%s\n", examples);
  append_exit_codes (out);
  return g_string_free (out, FALSE);
}

static GOptionContext *
make_context (struct arguments *arguments, struct gr_ctl *ctl)
{
  const GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &arguments->entries,
      "Entry to call, default " DEFAULT_ENTRY
      "; may be repeated: the next entry is tried if no connection can be made",
      "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &arguments->token_file,
      "File with the bearer token", "FILE" },
    { "ca-file", 0, 0, G_OPTION_ARG_FILENAME, &arguments->ca_file,
      "PEM file of the certificate authorities trusted to sign entries' "
      "certificates",
      "FILE" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &ctl->json, "Print JSON", NULL },
    { "timeout", 0, 0, G_OPTION_ARG_DOUBLE, &ctl->timeout_s,
      "Timeout of one call, or of the whole command for wait and watch; "
      "default 30 for calls, no timeout for wait and watch",
      "SECONDS" },
    { "revision", 0, 0, G_OPTION_ARG_INT64, &ctl->revision,
      "Write only if the path is at this revision, 0: does not exist; default: "
      "the revision read immediately before the write",
      "N" },
    { "interval", 0, 0, G_OPTION_ARG_DOUBLE, &ctl->interval_s,
      "Interval between polls of watch, default 1", "SECONDS" },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &arguments->words,
      NULL, "COMMAND [ARGUMENT...]" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  char *text = description ();

  g_option_context_set_summary (context, "Operator command line of "
                                         "geraniumrack.");
  g_option_context_set_description (context, text);
  g_option_context_add_main_entries (context, entries, NULL);
  gr_process_options_add (context, &arguments->process);
  g_free (text);
  return context;
}

/* Sets the entry to call from http_address in the file given by --settings. */
static bool
entries_from_settings (struct gr_ctl *ctl, struct arguments *arguments)
{
  struct gr_process_settings settings;
  bool has_fixed_port;

  if (!gr_process_load (arguments->process.settings, &settings))
    return false;
  has_fixed_port = !g_str_has_suffix (settings.http_address, ":0");
  if (has_fixed_port)
    {
      arguments->entries = g_new0 (char *, 2);
      arguments->entries[0] =
          g_strconcat (settings.tls_key[0] == '\0' ? "http://" : "https://",
                       settings.http_address, NULL);
    }
  else
    gr_ctl_usage_error (ctl, "%s: http_address has port 0; use --entry",
                        arguments->process.settings);
  gr_process_settings_clear (&settings);
  return has_fixed_port;
}

static bool
set_entries (struct gr_ctl *ctl, struct arguments *arguments)
{
  if (arguments->entries == NULL && arguments->process.settings != NULL
      && !entries_from_settings (ctl, arguments))
    return false;
  if (arguments->entries == NULL)
    arguments->entries = g_strsplit (DEFAULT_ENTRY, " ", -1);
  for (guint i = 0; arguments->entries[i] != NULL; i++)
    {
      char *entry = arguments->entries[i];
      GUri *uri = g_uri_parse (entry, G_URI_FLAGS_NONE, NULL);
      bool valid =
          uri != NULL && g_uri_get_host (uri) != NULL
          && g_uri_get_host (uri)[0] != '\0'
          && g_strv_contains ((const char *const[]){ "http", "https", NULL },
                              g_uri_get_scheme (uri));

      if (uri != NULL)
        g_uri_unref (uri);
      if (!valid)
        {
          gr_ctl_usage_error (ctl,
                              "--entry: found '%s', allowed: http://HOST:PORT "
                              "or https://HOST:PORT",
                              entry);
          return false;
        }
      if (g_str_has_suffix (entry, "/"))
        entry[strlen (entry) - 1] = '\0';
    }
  ctl->entries = arguments->entries;
  return true;
}

static bool
set_token (struct gr_ctl *ctl, const char *file)
{
  if (file == NULL)
    return true;
  if (!gr_ctl_read_file (ctl, file, &ctl->token))
    return false;
  g_strstrip (ctl->token);
  for (const char *c = ctl->token; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      {
        gr_ctl_usage_error (ctl,
                            "%s: the token must be one line of printable ASCII "
                            "without blanks",
                            file);
        return false;
      }
  if (ctl->token[0] != '\0')
    return true;
  gr_ctl_usage_error (ctl, "%s: the token is empty", file);
  return false;
}

static bool
set_session (struct gr_ctl *ctl, const char *ca_file)
{
  GTlsDatabase *database;
  GError *error = NULL;

  ctl->session = soup_session_new ();
  if (ca_file == NULL)
    return true;
  database = g_tls_file_database_new (ca_file, &error);
  if (database == NULL)
    {
      gr_ctl_usage_error (ctl, "%s: %s", ca_file, error->message);
      g_error_free (error);
      return false;
    }
  soup_session_set_tls_database (ctl->session, database);
  g_object_unref (database);
  return true;
}

static bool
set_times (struct gr_ctl *ctl)
{
  ctl->has_timeout = ctl->timeout_s != NO_TIMEOUT;
  if (!ctl->has_timeout)
    ctl->timeout_s = GR_CTL_CALL_TIMEOUT_S;
  if (!(ctl->timeout_s > 0 && ctl->timeout_s <= MAX_TIMEOUT_S))
    {
      gr_ctl_usage_error (ctl, "--timeout: allowed: above 0, at most %d s",
                          MAX_TIMEOUT_S);
      return false;
    }
  ctl->call_timeout_s = ctl->timeout_s;
  if (!(ctl->interval_s >= 0.1 && ctl->interval_s <= MAX_TIMEOUT_S))
    {
      gr_ctl_usage_error (ctl, "--interval: allowed: 0.1 to %d s",
                          MAX_TIMEOUT_S);
      return false;
    }
  if (ctl->revision >= -1)
    return true;
  gr_ctl_usage_error (ctl, "--revision: allowed: 0 or more");
  return false;
}

/* Finds the command that the first one or two words name. Sets *n_words to the
 * number of words in its name. Returns NULL if there is none. */
static const struct gr_ctl_command *
find_command (char **words, int *n_words)
{
  char *two_words = words[0] == NULL || words[1] == NULL
                        ? NULL
                        : g_strconcat (words[0], " ", words[1], NULL);
  const struct gr_ctl_command *found = NULL;

  for (size_t i = 0; i < gr_ctl_n_commands && found == NULL; i++)
    {
      const struct gr_ctl_command *command = &gr_ctl_commands[i];

      *n_words = strchr (command->name, ' ') == NULL ? 1 : 2;
      if (g_strcmp0 (command->name, *n_words == 1 ? words[0] : two_words) == 0)
        found = command;
    }
  g_free (two_words);
  return found;
}

static int
run_command (struct gr_ctl *ctl, struct arguments *arguments)
{
  char **words = arguments->words;
  const struct gr_ctl_command *command;
  int n_words;
  int argc;

  if (words == NULL || words[0] == NULL)
    return gr_ctl_usage_error (ctl, "no command given; see --help");
  command = find_command (words, &n_words);
  if (command == NULL)
    return gr_ctl_usage_error (ctl, "unknown command '%s%s%s'; see --help",
                               words[0], words[1] == NULL ? "" : " ",
                               words[1] == NULL ? "" : words[1]);
  argc = (int)g_strv_length (words) - n_words;
  if (argc < command->min_arguments
      || (command->max_arguments >= 0 && argc > command->max_arguments))
    return gr_ctl_usage_error (ctl, "usage: geraniumrackctl %s %s",
                               command->name, command->arguments);
  if (!set_times (ctl) || !set_entries (ctl, arguments)
      || !set_token (ctl, arguments->token_file)
      || !set_session (ctl, arguments->ca_file))
    return GR_EXIT_USAGE;
  return command->run (ctl, argc, words + n_words);
}

int
gr_ctl_run (int argc, char **argv, FILE *out, FILE *err)
{
  struct gr_ctl ctl = { .timeout_s = NO_TIMEOUT,
                        .revision = -1,
                        .interval_s = 1,
                        .out = out,
                        .err = err };
  struct arguments arguments = { 0 };
  GOptionContext *context = make_context (&arguments, &ctl);
  char **strv = g_new0 (char *, (gsize)argc + 1);
  GError *error = NULL;
  int exit_code;

  ctl.missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < argc; i++)
    strv[i] = g_strdup (argv[i]);
  if (!g_option_context_parse_strv (context, &strv, &error))
    exit_code = gr_ctl_usage_error (&ctl, "%s", error->message);
  else if (!gr_process_options_handle (&arguments.process, "geraniumrackctl",
                                       &exit_code))
    exit_code = run_command (&ctl, &arguments);
  g_clear_error (&error);
  g_clear_object (&ctl.session);
  g_hash_table_destroy (ctl.missing);
  g_option_context_free (context);
  gr_process_options_clear (&arguments.process);
  g_strfreev (strv);
  g_strfreev (arguments.entries);
  g_strfreev (arguments.words);
  g_free (arguments.token_file);
  g_free (arguments.ca_file);
  g_free (ctl.token);
  return exit_code;
}
