#include "entry/admin.h"

#include "entry/owner.h"

#include <string.h>

/* One query of "shard.status" to the owners of one shard or of all shards.
 * The response is sent when the last call has ended. */
struct shard_query
{
  struct gr_exchange *exchange;
  void (*render) (struct shard_query *query);
  uint32_t calls_pending;
  GPtrArray *names;   /* sort keys of items */
  JsonArray *items;   /* one object per shard or worker */
  JsonArray *missing; /* names of shards whose owner did not reply */
  GHashTable *totals; /* account name to JsonObject of sums */
  bool wants_workers;
};

struct shard_call
{
  struct shard_query *query;
  char shard[GR_NAME_MAX];
};

static const char *const summed_fields[] = {
  "guaranteed", "used", "borrowed", "waiting", "waiting_jobs",
};

static const char *const shard_fields[] = {
  "epoch",        "free",         "largest_free_block",
  "jobs_waiting", "jobs_running", "preemptions",
};

static void
finish_call (struct shard_query *query)
{
  if (--query->calls_pending > 0)
    return;
  query->render (query);
  g_hash_table_destroy (query->totals);
  g_free (query);
}

/* Transfers ownership of names, items and missing to the response. */
static void
render_list (struct shard_query *query)
{
  gr_exchange_send_list (query->exchange, query->names, query->items,
                         query->missing);
}

static void
set_string (JsonObject *object, const char *name, const msgpack_object *map)
{
  char *text = gr_unpack_string (map, name);

  json_object_set_string_member (object, name, text != NULL ? text : "");
  g_free (text);
}

static void
add_accounts (struct shard_query *query, const msgpack_object *body)
{
  size_t count;
  const msgpack_object *accounts = gr_unpack_array (body, "accounts", &count);

  for (size_t i = 0; i < count; i++)
    {
      char *name = gr_unpack_string (&accounts[i], "name");
      JsonObject *total;

      if (name == NULL)
        continue;
      total = g_hash_table_lookup (query->totals, name);
      if (total == NULL)
        {
          total = json_object_new ();
          g_hash_table_insert (query->totals, g_strdup (name), total);
        }
      for (size_t j = 0; j < G_N_ELEMENTS (summed_fields); j++)
        json_object_set_int_member (
            total, summed_fields[j],
            json_object_get_int_member_with_default (total, summed_fields[j], 0)
                + gr_unpack_int (&accounts[i], summed_fields[j], 0));
      if (gr_unpack_bool (&accounts[i], "guarantee_impossible", false))
        json_object_set_boolean_member (total, "guarantee_impossible", TRUE);
      g_free (name);
    }
}

static void
add_workers (struct shard_query *query,
             const char *shard,
             const msgpack_object *body)
{
  static const char *const flags[] = { "silent", "leaving", "quarantined" };
  size_t count;
  const msgpack_object *workers = gr_unpack_array (body, "workers", &count);

  for (size_t i = 0; i < count; i++)
    {
      JsonObject *item = json_object_new ();

      set_string (item, "name", &workers[i]);
      json_object_set_string_member (item, "shard", shard);
      set_string (item, "rack", &workers[i]);
      json_object_set_int_member (
          item, "accelerators", gr_unpack_int (&workers[i], "accelerators", 0));
      json_object_set_int_member (item, "used",
                                  gr_unpack_int (&workers[i], "used", 0));
      for (size_t j = 0; j < G_N_ELEMENTS (flags); j++)
        json_object_set_boolean_member (
            item, flags[j], gr_unpack_bool (&workers[i], flags[j], false));
      g_ptr_array_add (query->names,
                       g_strdup (json_object_get_string_member (item, "name")));
      json_array_add_object_element (query->items, item);
    }
}

static void
add_shard (struct shard_query *query,
           const char *shard,
           const char *address,
           const msgpack_object *body)
{
  JsonObject *item = json_object_new ();

  json_object_set_string_member (item, "name", shard);
  json_object_set_boolean_member (item, "answers", body != NULL);
  json_object_set_string_member (item, "address",
                                 address != NULL ? address : "");
  if (body != NULL)
    {
      set_string (item, "owner", body);
      for (size_t i = 0; i < G_N_ELEMENTS (shard_fields); i++)
        json_object_set_int_member (item, shard_fields[i],
                                    gr_unpack_int (body, shard_fields[i], 0));
      json_object_set_boolean_member (
          item, "witness_holds", gr_unpack_bool (body, "witness_holds", false));
    }
  g_ptr_array_add (query->names, g_strdup (shard));
  json_array_add_object_element (query->items, item);
}

static void
add_result (struct shard_query *query,
            const char *shard,
            const msgpack_object *body)
{
  struct gr_entry *entry = query->exchange->entry;
  const char *address = NULL;
  uint64_t epoch;

  if (body == NULL)
    json_array_add_string_element (query->missing, shard);
  else
    add_accounts (query, body);
  if (query->wants_workers && body != NULL)
    add_workers (query, shard, body);
  if (query->wants_workers)
    return;
  address = gr_members_shard_owner (entry->members, shard,
                                    gr_clock_now_ms (entry->clock), &epoch);
  add_shard (query, shard, address, body);
}

static void
call_done (const msgpack_object *body,
           const struct gr_error *error,
           void *context)
{
  struct shard_call *call = context;
  struct shard_query *query = call->query;

  add_result (query, call->shard, error == NULL ? body : NULL);
  g_free (call);
  finish_call (query);
}

static void
query_shard (struct shard_query *query, const char *shard)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *body = gr_packer_create ();
  struct shard_call *call = g_new0 (struct shard_call, 1);

  call->query = query;
  g_strlcpy (call->shard, shard, sizeof call->shard);
  gr_pack_string (body, "shard", shard);
  query->calls_pending++;
  if (!gr_owner_call (query->exchange->entry, shard, "shard.status", body,
                      call_done, call, &error))
    call_done (NULL, &error, call);
  gr_packer_destroy (body);
}

/* Queries the shard only_shard, or all shards if it is NULL. The count of
 * pending calls starts at 1, so that a call that fails immediately does not end
 * the query early. */
static void
query_shards (struct gr_exchange *exchange,
              const char *only_shard,
              bool wants_workers,
              void (*render) (struct shard_query *query))
{
  struct shard_query *query = g_new0 (struct shard_query, 1);
  char **shards = gr_entry_shards (exchange->entry);

  query->exchange = exchange;
  query->render = render;
  query->wants_workers = wants_workers;
  query->names = g_ptr_array_new_with_free_func (g_free);
  query->items = json_array_new ();
  query->missing = json_array_new ();
  query->totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)json_object_unref);
  query->calls_pending = 1;
  gr_exchange_pause (exchange);
  for (size_t i = 0; shards[i] != NULL; i++)
    if (only_shard == NULL || strcmp (only_shard, shards[i]) == 0)
      query_shard (query, shards[i]);
  g_strfreev (shards);
  finish_call (query);
}

static JsonArray *
guarantees_to_json (const struct gr_account_settings *account)
{
  JsonArray *list = json_array_new ();

  for (uint32_t i = 0; i < account->n_guarantees; i++)
    {
      const struct gr_guarantee *guarantee = &account->guarantees[i];
      JsonObject *item = json_object_new ();

      json_object_set_string_member (item, "name", guarantee->name);
      json_object_set_int_member (item, "workers", guarantee->shape.workers);
      json_object_set_int_member (item, "accelerators_per_worker",
                                  guarantee->shape.accelerators_per_worker);
      json_object_set_string_member (item, "data_centre",
                                     guarantee->data_centre);
      json_object_set_int_member (item, "count", guarantee->count);
      json_array_add_object_element (list, item);
    }
  return list;
}

static JsonObject *
account_to_json (struct shard_query *query,
                 const struct gr_account_settings *account)
{
  struct gr_entry *entry = query->exchange->entry;
  JsonObject *total = g_hash_table_lookup (query->totals, account->name);
  JsonObject *item = json_object_new ();
  bool impossible = false;

  json_object_set_string_member (item, "name", account->name);
  json_object_set_string_member (item, "priority",
                                 gr_priority_name (account->priority));
  json_object_set_double_member (item, "rate_per_s", account->rate_per_s);
  json_object_set_double_member (
      item, "rate_here_per_s",
      gr_limits_rate (entry->limits, account->name,
                      gr_clock_now_ms (entry->clock)));
  json_object_set_int_member (item, "quota_accelerators",
                              account->quota_accelerators);
  json_object_set_array_member (item, "guarantees",
                                guarantees_to_json (account));
  for (size_t i = 0; i < G_N_ELEMENTS (summed_fields); i++)
    json_object_set_int_member (item, summed_fields[i],
                                total != NULL
                                    ? json_object_get_int_member_with_default (
                                        total, summed_fields[i], 0)
                                    : 0);
  if (total != NULL)
    impossible = json_object_get_boolean_member_with_default (
        total, "guarantee_impossible", FALSE);
  json_object_set_boolean_member (item, "guarantee_impossible", impossible);
  return item;
}

static void
free_items (struct shard_query *query)
{
  g_ptr_array_unref (query->names);
  json_array_unref (query->items);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
render_accounts (struct shard_query *query)
{
  struct gr_entry *entry = query->exchange->entry;
  GHashTableIter iter;
  void *name;

  free_items (query);
  query->names = g_ptr_array_new_with_free_func (g_free);
  query->items = json_array_new ();
  g_hash_table_iter_init (&iter, entry->accounts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (query->names, g_strdup (name));
  g_ptr_array_sort (query->names, compare_names);
  for (guint i = 0; i < query->names->len; i++)
    json_array_add_object_element (
        query->items,
        account_to_json (query,
                         gr_entry_account (entry, query->names->pdata[i])));
  render_list (query);
}

static void
render_account (struct shard_query *query)
{
  struct gr_exchange *exchange = query->exchange;
  const struct gr_account_settings *account =
      gr_entry_account (exchange->entry, exchange->path_suffix);
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *item;

  free_items (query);
  if (account == NULL)
    {
      json_array_unref (query->missing);
      gr_error_set (&error, GR_ERROR_UNKNOWN_ACCOUNT,
                    "there is no account \"%.64s\"", exchange->path_suffix);
      gr_exchange_fail (exchange, &error);
      return;
    }
  item = account_to_json (query, account);
  if (json_array_get_length (query->missing) > 0)
    json_object_set_array_member (item, "missing_shards",
                                  json_array_ref (query->missing));
  json_array_unref (query->missing);
  gr_exchange_send_json (exchange, 200, item);
}

/* Workers are collected per shard; paging needs them sorted by name. */
static void
render_workers (struct shard_query *query)
{
  GPtrArray *sorted = g_ptr_array_new_with_free_func (g_free);
  JsonArray *items = json_array_new ();
  GHashTable *by_name =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, NULL);

  for (guint i = 0; i < query->names->len; i++)
    {
      g_hash_table_insert (by_name, query->names->pdata[i],
                           json_array_get_element (query->items, i));
      g_ptr_array_add (sorted, g_strdup (query->names->pdata[i]));
    }
  g_ptr_array_sort (sorted, compare_names);
  for (guint i = 0; i < sorted->len; i++)
    json_array_add_element (items, json_node_copy (g_hash_table_lookup (
                                       by_name, sorted->pdata[i])));
  g_hash_table_destroy (by_name);
  free_items (query);
  query->names = sorted;
  query->items = items;
  render_list (query);
}

void
gr_admin_accounts (struct gr_exchange *exchange)
{
  query_shards (exchange, NULL, true, render_accounts);
}

void
gr_admin_account (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;

  if (gr_exchange_authorize_account (exchange, exchange->path_suffix, &error))
    query_shards (exchange, NULL, true, render_account);
  else
    gr_exchange_fail (exchange, &error);
}

void
gr_admin_shards (struct gr_exchange *exchange)
{
  query_shards (exchange, NULL, false, render_list);
}

void
gr_admin_workers (struct gr_exchange *exchange)
{
  query_shards (exchange, gr_exchange_query (exchange, "shard"), true,
                render_workers);
}

/* A member that last reported "ready" counts as silent once its last contact
 * is too old. */
static const char *
member_state (const struct gr_member *member, int64_t now_ms)
{
  if (member->state == GR_MEMBER_READY && !gr_member_is_ready (member, now_ms))
    return "silent";
  return gr_member_state_name (member->state);
}

void
gr_admin_members (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  GArray *members = gr_members_list (entry->members);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  JsonArray *items = json_array_new ();
  int64_t now_ms = gr_clock_now_ms (entry->clock);

  for (guint i = 0; i < members->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (members, struct gr_member, i);
      JsonObject *item = json_object_new ();
      bool has_contact = member->last_contact_ms > 0;

      json_object_set_string_member (item, "name", member->name);
      json_object_set_string_member (item, "role",
                                     gr_instance_role_name (member->role));
      json_object_set_string_member (item, "state",
                                     member_state (member, now_ms));
      json_object_set_string_member (item, "address", member->address);
      json_object_set_string_member (item, "data_centre", member->data_centre);
      json_object_set_int_member (item, "settings_revision",
                                  member->settings_revision);
      json_object_set_int_member (item, "heard_ms_ago",
                                  has_contact ? now_ms - member->last_contact_ms
                                              : -1);
      json_object_set_boolean_member (item, "ready",
                                      gr_member_is_ready (member, now_ms));
      g_ptr_array_add (names, g_strdup (member->name));
      json_array_add_object_element (items, item);
    }
  g_array_unref (members);
  gr_exchange_send_list (exchange, names, items, NULL);
}

void
gr_admin_drain (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  JsonObject *response = json_object_new ();

  json_object_set_string_member (response, "state", "leaving");
  gr_entry_stop (entry);
  gr_exchange_send_json (exchange, 202, response);
}

static void
drain_done (const msgpack_object *body,
            const struct gr_error *error,
            void *context)
{
  struct gr_exchange *exchange = context;
  struct gr_error client_error = GR_ERROR_INIT;
  JsonObject *response;

  if (error != NULL)
    {
      client_error = gr_owner_translate_error (exchange->entry, error, false);
      gr_exchange_fail (exchange, &client_error);
      return;
    }
  response = json_object_new ();
  set_string (response, "state", body);
  gr_exchange_send_json (exchange, 202, response);
}

void
gr_admin_drain_shard (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *body;
  char *shard;

  if (!g_str_has_suffix (exchange->path_suffix, "/drain"))
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND, "no such resource");
      gr_exchange_fail (exchange, &error);
      return;
    }
  shard = g_strndup (exchange->path_suffix,
                     strlen (exchange->path_suffix) - strlen ("/drain"));
  body = gr_packer_create ();
  gr_pack_string (body, "shard", shard);
  gr_exchange_pause (exchange);
  if (!gr_owner_call (exchange->entry, shard, "shard.drain", body, drain_done,
                      exchange, &error))
    gr_exchange_fail (exchange, &error);
  gr_packer_destroy (body);
  g_free (shard);
}
