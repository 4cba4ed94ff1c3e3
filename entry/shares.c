#include "entry/shares.h"

#include "common/hash.h"

#include <string.h>

/* A later reply is useless: the allotment would have expired. */
#define REPORT_TIMEOUT_MS (GR_LIMIT_TERM_MS - 100)

/* Timers fire slightly early or late; without this slack a report could be
 * delayed by a whole timer interval. */
#define TIMER_SLACK_MS 20

/* The time of its own clock that a home entry sent in its last reply, and
 * the incarnation of that home. Echoed in the next report, so that the home can
 * determine how old the report is. */
struct stamp
{
  int64_t stamp_ms;
  char incarnation[GR_NAME_MAX];
};

struct gr_shares
{
  struct gr_entry *entry;
  GHashTable *stamps; /* home entry name to struct stamp */
  guint timer;
  int64_t sent_ms; /* time of the last round of reports */
};

/* One "limits.report" call to one home entry, with the reports of its
 * accounts. */
struct report
{
  struct gr_shares *shares;
  char home[GR_NAME_MAX];
  int64_t sent_ms;
};

static const struct stamp *
find_stamp (const struct gr_shares *shares, const char *home)
{
  return g_hash_table_lookup (shares->stamps, home);
}

static void
store_stamp (struct gr_shares *shares,
             const char *home,
             int64_t stamp_ms,
             const char *incarnation)
{
  struct stamp *stamp = g_new0 (struct stamp, 1);

  stamp->stamp_ms = stamp_ms;
  g_strlcpy (stamp->incarnation, incarnation, sizeof stamp->incarnation);
  g_hash_table_replace (shares->stamps, g_strdup (home), stamp);
}

static void
report_done (const msgpack_object *body,
             const struct gr_error *error,
             void *context)
{
  struct report *report = context;
  struct gr_entry *entry = report->shares->entry;
  const msgpack_object *elements;
  char *incarnation;
  size_t count;

  if (error != NULL || entry->destroying)
    {
      g_free (report);
      return;
    }
  incarnation = gr_unpack_string (body, "incarnation");
  if (incarnation != NULL)
    store_stamp (report->shares, report->home,
                 gr_unpack_int (body, "stamp", -1), incarnation);
  elements = gr_unpack_array (body, "allotments", &count);
  for (size_t i = 0; i < count; i++)
    {
      char *account = gr_unpack_string (&elements[i], "account");
      double rate = gr_unpack_double (&elements[i], "rate_per_s", 0);

      if (account != NULL && rate >= 0)
        gr_limits_apply_allotment (entry->limits, account, report->home,
                                   report->sent_ms, rate);
      g_free (account);
    }
  g_free (incarnation);
  g_free (report);
}

static void
report_to_own_home (struct gr_entry *entry, GPtrArray *accounts, int64_t now_ms)
{
  const char *self = entry->process->instance;

  for (guint i = 0; i < accounts->len; i++)
    {
      const char *account = accounts->pdata[i];
      double demand;
      double rate;

      if (!gr_limits_begin_report (entry->limits, account, self, now_ms,
                                   &demand))
        continue;
      rate = gr_allot_handle_report (entry->allot, account, self, demand,
                                     now_ms, now_ms);
      gr_limits_apply_allotment (entry->limits, account, self, now_ms, rate);
    }
}

static const char *
entry_address (const GArray *members, const char *home)
{
  for (guint i = 0; i < members->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (members, struct gr_member, i);

      if (member->role == GR_ROLE_ENTRY && strcmp (member->name, home) == 0)
        return member->address;
    }
  return NULL;
}

static void
send_report (struct gr_shares *shares,
             const char *home,
             const char *address,
             GPtrArray *accounts,
             int64_t now_ms)
{
  struct gr_entry *entry = shares->entry;
  const struct stamp *stamp = find_stamp (shares, home);
  struct gr_packer *body = gr_packer_create ();
  struct report *report = g_new0 (struct report, 1);

  report->shares = shares;
  report->sent_ms = now_ms;
  g_strlcpy (report->home, home, sizeof report->home);
  gr_pack_string (body, "home", home);
  gr_pack_string (body, "entry", entry->process->instance);
  gr_pack_int (body, "stamp", stamp != NULL ? stamp->stamp_ms : -1);
  gr_pack_string (body, "stamp_of", stamp != NULL ? stamp->incarnation : "");
  gr_pack_array_begin (body, "reports");
  for (guint i = 0; i < accounts->len; i++)
    {
      double demand;
      struct gr_packer *element;

      if (!gr_limits_begin_report (entry->limits, accounts->pdata[i], home,
                                   now_ms, &demand))
        continue;
      element = gr_packer_create ();
      gr_pack_string (element, "account", accounts->pdata[i]);
      gr_pack_double (element, "demand_per_s", demand);
      gr_pack_array_add (body, element);
    }
  gr_pack_array_end (body);
  gr_rpc_call (gr_peers_client (entry->peers, address), "limits.report", body,
               REPORT_TIMEOUT_MS, report_done, report);
  gr_packer_destroy (body);
}

/* Groups the accounts by their home entry, chosen by hash from the entries
 * that are ready as seen by this entry. Account names are owned by the
 * limits. Free with g_hash_table_destroy (). */
static GHashTable *
accounts_by_home (struct gr_entry *entry, int64_t now_ms)
{
  GPtrArray *ready = gr_members_ready (entry->members, GR_ROLE_ENTRY, now_ms);
  GPtrArray *accounts = gr_limits_accounts (entry->limits);
  GHashTable *by_home = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);

  for (guint i = 0; i < accounts->len && ready->len > 0; i++)
    {
      int chosen = gr_hash_choose (
          accounts->pdata[i], (const char *const *)ready->pdata, ready->len);
      const char *home = ready->pdata[chosen];
      GPtrArray *list = g_hash_table_lookup (by_home, home);

      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (by_home, g_strdup (home), list);
        }
      g_ptr_array_add (list, accounts->pdata[i]);
    }
  g_ptr_array_unref (accounts);
  g_ptr_array_unref (ready);
  return by_home;
}

static void
send_reports (struct gr_shares *shares, int64_t now_ms)
{
  struct gr_entry *entry = shares->entry;
  GHashTable *by_home = accounts_by_home (entry, now_ms);
  GArray *members = gr_members_list (entry->members);
  GHashTableIter iter;
  void *home;
  void *accounts;

  g_hash_table_iter_init (&iter, by_home);
  while (g_hash_table_iter_next (&iter, &home, &accounts))
    {
      const char *address = entry_address (members, home);

      if (strcmp (home, entry->process->instance) == 0)
        report_to_own_home (entry, accounts, now_ms);
      else if (address != NULL)
        send_report (shares, home, address, accounts, now_ms);
    }
  g_array_unref (members);
  g_hash_table_destroy (by_home);
}

static gboolean
on_report_timer (gpointer data)
{
  struct gr_shares *shares = data;
  int64_t now_ms = gr_clock_now_ms (shares->entry->clock);

  /* After a refusal by the rate limit, reports are sent early: the home may be
   * able to allot more immediately. */
  if (now_ms - shares->sent_ms < GR_LIMIT_REPORT_MS - TIMER_SLACK_MS
      && !gr_limits_clear_refused (shares->entry->limits))
    return G_SOURCE_CONTINUE;
  shares->sent_ms = now_ms;
  send_reports (shares, now_ms);
  return G_SOURCE_CONTINUE;
}

struct gr_shares *
gr_shares_create (struct gr_entry *entry)
{
  struct gr_shares *shares = g_new0 (struct gr_shares, 1);

  shares->entry = entry;
  shares->stamps =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  shares->timer =
      g_timeout_add (GR_LIMIT_URGENT_REPORT_MS, on_report_timer, shares);
  return shares;
}

void
gr_shares_destroy (struct gr_shares *shares)
{
  if (shares == NULL)
    return;
  g_source_remove (shares->timer);
  g_hash_table_destroy (shares->stamps);
  g_free (shares);
}

static void
pack_allotments (struct gr_shares *shares,
                 struct gr_packer *reply,
                 const msgpack_object *body,
                 const char *from,
                 int64_t stamp_ms,
                 int64_t now_ms)
{
  size_t count;
  const msgpack_object *reports = gr_unpack_array (body, "reports", &count);

  gr_pack_array_begin (reply, "allotments");
  for (size_t i = 0; i < count; i++)
    {
      char *account = gr_unpack_string (&reports[i], "account");
      double demand = gr_unpack_double (&reports[i], "demand_per_s", 0);
      struct gr_packer *element;

      if (account == NULL)
        continue;
      element = gr_packer_create ();
      gr_pack_string (element, "account", account);
      gr_pack_double (element, "rate_per_s",
                      gr_allot_handle_report (shares->entry->allot, account,
                                              from, MAX (demand, 0), stamp_ms,
                                              now_ms));
      gr_pack_array_add (reply, element);
      g_free (account);
    }
  gr_pack_array_end (reply);
}

void
gr_shares_handle (struct gr_shares *shares,
                  struct gr_rpc_call *call,
                  const msgpack_object *body)
{
  struct gr_entry *entry = shares->entry;
  const char *incarnation = gr_peers_incarnation (entry->peers);
  int64_t now_ms = gr_clock_now_ms (entry->clock);
  int64_t stamp_ms = gr_unpack_int (body, "stamp", -1);
  char *home = gr_unpack_string (body, "home");
  char *from = gr_unpack_string (body, "entry");
  char *stamp_incarnation = gr_unpack_string (body, "stamp_of");
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *reply;

  if (from == NULL || g_strcmp0 (home, entry->process->instance) != 0)
    {
      gr_error_set (&error, GR_ERROR_BAD_REQUEST,
                    "the report is addressed to another home entry");
      gr_rpc_fail (call, &error);
    }
  else
    {
      if (g_strcmp0 (stamp_incarnation, incarnation) != 0)
        stamp_ms = -1;
      reply = gr_packer_create ();
      gr_pack_int (reply, "stamp", now_ms);
      gr_pack_string (reply, "incarnation", incarnation);
      gr_pack_int (reply, "term_ms", GR_LIMIT_TERM_MS);
      pack_allotments (shares, reply, body, from, stamp_ms, now_ms);
      gr_rpc_reply (call, reply);
      gr_packer_destroy (reply);
    }
  g_free (home);
  g_free (from);
  g_free (stamp_incarnation);
}
