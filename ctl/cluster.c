/* Commands for the system as a whole: status, members, shards, workers, drain.
 */
#include "ctl/commands.h"

#include <string.h>

static const char *const member_columns[] = {
  "name", "role", "state", "settings_revision", "heard_ms_ago", NULL
};

static const char *const shard_columns[] = {
  "name",          "owner",
  "address",       "epoch",
  "jobs_waiting",  "jobs_running",
  "free",          "largest_free_block",
  "witness_holds", NULL
};

static const char *const worker_columns[] = { "name",         "rack",
                                              "accelerators", "used",
                                              "silent",       "leaving",
                                              "quarantined",  NULL };

int
gr_ctl_members (struct gr_ctl *ctl, int argc, char **argv)
{
  (void)argc;
  (void)argv;
  return gr_ctl_show_list (ctl, "/v1/members", "", 0, member_columns);
}

int
gr_ctl_shards (struct gr_ctl *ctl, int argc, char **argv)
{
  (void)argc;
  (void)argv;
  return gr_ctl_show_list (ctl, "/v1/shards", "", 0, shard_columns);
}

int
gr_ctl_workers (struct gr_ctl *ctl, int argc, char **argv)
{
  char *escaped;
  char *query;
  int exit_code;

  if (argc == 0)
    return gr_ctl_show_list (ctl, "/v1/workers", "", 0, worker_columns);
  escaped = g_uri_escape_string (argv[0], NULL, FALSE);
  query = g_strconcat ("shard=", escaped, NULL);
  exit_code = gr_ctl_show_list (ctl, "/v1/workers", query, 0, worker_columns);
  g_free (escaped);
  g_free (query);
  return exit_code;
}

int
gr_ctl_drain (struct gr_ctl *ctl, int argc, char **argv)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *path;
  int exit_code = 0;

  if (g_str_equal (argv[0], "entry") && argc == 1)
    {
      /* With several entries, the first one that accepts a connection would
       * stop, which may be any of them. */
      if (g_strv_length (ctl->entries) != 1)
        return gr_ctl_usage_error (ctl,
                                   "drain entry requires exactly one --entry");
      path = g_strdup ("/v1/drain");
    }
  else if (g_str_equal (argv[0], "shard") && argc == 2)
    {
      char *name = g_uri_escape_string (argv[1], NULL, FALSE);

      path = g_strdup_printf ("/v1/shards/%s/drain", name);
      g_free (name);
    }
  else
    return gr_ctl_usage_error (
        ctl, "the argument of drain must be 'entry' or 'shard NAME'");
  if (!gr_ctl_call (ctl, "POST", path, NULL, NULL, -1, &response, &error))
    exit_code = gr_ctl_report_error (ctl, &error, &response);
  else if (response.json != NULL)
    gr_ctl_print_object (ctl, response.json);
  gr_ctl_response_clear (&response);
  g_free (path);
  return exit_code;
}

/* --- status --------------------------------------------------------------- */

struct status
{
  bool ready;
  char *not_ready_reason; /* NULL if ready */
  JsonArray *members;
  JsonArray *shards;
  JsonArray *accounts;
  JsonArray *workers;
  bool store_answers; /* whether the key-value service is reachable */
};

static void
fetch_readiness (struct gr_ctl *ctl, struct status *status, int *exit_code)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;

  status->ready =
      gr_ctl_call (ctl, "GET", "/readyz", NULL, NULL, -1, &response, &error);
  /* Without a response, the other calls would fail as well. */
  if (response.status == 0)
    *exit_code = gr_ctl_report_error (ctl, &error, &response);
  else if (!status->ready)
    status->not_ready_reason = g_strdup (error.message);
  status->store_answers =
      status->ready && strstr (response.body, "does not answer") == NULL;
  gr_ctl_response_clear (&response);
}

static guint
count_members (const struct status *status, const char *state)
{
  guint count = 0;

  for (guint i = 0; i < json_array_get_length (status->members); i++)
    count += g_str_equal (
        gr_ctl_string (json_array_get_object_element (status->members, i),
                       "state", ""),
        state);
  return count;
}

static guint
count_workers (const struct status *status, const char *flag)
{
  guint count = 0;

  for (guint i = 0; i < json_array_get_length (status->workers); i++)
    count +=
        gr_ctl_bool (json_array_get_object_element (status->workers, i), flag);
  return count;
}

static bool
has_owner (JsonObject *shard)
{
  return gr_ctl_string (shard, "owner", "")[0] != '\0';
}

/* Returns true if some guarantees of an account cannot currently be satisfied.
 * Accepts the member as a boolean or as a number. */
static bool
has_impossible_guarantee (JsonObject *account)
{
  return gr_ctl_bool (account, "guarantee_impossible")
         || gr_ctl_int (account, "guarantee_impossible", 0) > 0;
}

/* Prints the numbers of accelerators of an account. */
static void
print_account (struct gr_ctl *ctl, JsonObject *account)
{
  static const char *const names[] = { "guaranteed", "used", "borrowed",
                                       "waiting" };

  fprintf (ctl->out, "account %s:", gr_ctl_string (account, "name", "-"));
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    fprintf (ctl->out, "%s %s %" G_GINT64_FORMAT, i > 0 ? "," : "", names[i],
             (gint64)gr_ctl_int (account, names[i], 0));
  fputc ('\n', ctl->out);
}

static void
print_status (struct gr_ctl *ctl, const struct status *status)
{
  fprintf (ctl->out, "entry: %s%s%s\n", status->ready ? "ready" : "not ready",
           status->not_ready_reason == NULL ? "" : ": ",
           status->not_ready_reason == NULL ? "" : status->not_ready_reason);
  fprintf (ctl->out, "members: %u, of which %u ready\n",
           json_array_get_length (status->members),
           count_members (status, "ready"));
  if (status->ready && !status->store_answers)
    fprintf (ctl->out, "key-value service: does not answer\n");
  if (count_workers (status, "silent") > 0)
    fprintf (ctl->out, "workers: %u silent\n",
             count_workers (status, "silent"));
  if (count_workers (status, "quarantined") > 0)
    fprintf (ctl->out, "workers: %u in quarantine\n",
             count_workers (status, "quarantined"));
  for (guint i = 0; i < json_array_get_length (status->shards); i++)
    {
      JsonObject *shard = json_array_get_object_element (status->shards, i);

      fprintf (ctl->out, "shard %s: %s%s", gr_ctl_string (shard, "name", "-"),
               has_owner (shard) ? "owned by " : "no owner",
               gr_ctl_string (shard, "owner", ""));
      if (has_owner (shard))
        fprintf (ctl->out, ", epoch %" G_GINT64_FORMAT,
                 (gint64)gr_ctl_int (shard, "epoch", 0));
      fputc ('\n', ctl->out);
    }
  for (guint i = 0; i < json_array_get_length (status->accounts); i++)
    {
      JsonObject *account = json_array_get_object_element (status->accounts, i);

      print_account (ctl, account);
      if (has_impossible_guarantee (account))
        fprintf (ctl->out, "account %s: guarantees cannot be satisfied\n",
                 gr_ctl_string (account, "name", "-"));
    }
}

static void
print_status_json (struct gr_ctl *ctl, const struct status *status)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  json_object_set_boolean_member (object, "ready", status->ready);
  if (status->not_ready_reason != NULL)
    json_object_set_string_member (object, "detail", status->not_ready_reason);
  json_object_set_array_member (object, "members",
                                json_array_ref (status->members));
  json_object_set_array_member (object, "shards",
                                json_array_ref (status->shards));
  json_object_set_array_member (object, "accounts",
                                json_array_ref (status->accounts));
  json_object_set_array_member (object, "workers",
                                json_array_ref (status->workers));
  json_object_set_boolean_member (object, "store_answers",
                                  status->store_answers);
  json_node_take_object (node, object);
  gr_ctl_print_json (ctl, node);
  json_node_unref (node);
}

static int
status_exit_code (const struct status *status)
{
  if (!status->ready)
    return gr_error_info (GR_ERROR_OVERLOADED)->exit_code;
  if (!status->store_answers)
    return gr_error_info (GR_ERROR_STORE_UNAVAILABLE)->exit_code;
  for (guint i = 0; i < json_array_get_length (status->shards); i++)
    if (!has_owner (json_array_get_object_element (status->shards, i)))
      return gr_error_info (GR_ERROR_NO_OWNER)->exit_code;
  for (guint i = 0; i < json_array_get_length (status->accounts); i++)
    if (has_impossible_guarantee (
            json_array_get_object_element (status->accounts, i)))
      return gr_error_info (GR_ERROR_OVERLOADED)->exit_code;
  return 0;
}

int
gr_ctl_status (struct gr_ctl *ctl, int argc, char **argv)
{
  struct status status = { 0 };
  int exit_code = 0;

  (void)argc;
  (void)argv;
  fetch_readiness (ctl, &status, &exit_code);
  if (exit_code == 0)
    status.members = gr_ctl_fetch_list (ctl, "/v1/members", "", 0, &exit_code);
  if (status.members != NULL)
    status.shards = gr_ctl_fetch_list (ctl, "/v1/shards", "", 0, &exit_code);
  if (status.shards != NULL)
    status.accounts =
        gr_ctl_fetch_list (ctl, "/v1/accounts", "", 0, &exit_code);
  if (status.accounts != NULL)
    status.workers = gr_ctl_fetch_list (ctl, "/v1/workers", "", 0, &exit_code);
  if (status.workers != NULL)
    {
      if (ctl->json)
        print_status_json (ctl, &status);
      else
        print_status (ctl, &status);
      exit_code = gr_ctl_report_missing (ctl);
      if (exit_code == 0)
        exit_code = status_exit_code (&status);
    }
  g_clear_pointer (&status.members, json_array_unref);
  g_clear_pointer (&status.shards, json_array_unref);
  g_clear_pointer (&status.accounts, json_array_unref);
  g_clear_pointer (&status.workers, json_array_unref);
  g_free (status.not_ready_reason);
  return exit_code;
}
