#include "entry/admin.h"

#include "entry/owner.h"

#include <string.h>

/* Answers of all shards to shard.status. */
struct gather
{
  struct gr_exchange *exchange;
  void (*render) (struct gather *gather);
  uint32_t waiting;
  GPtrArray *names;   /* keys of items */
  JsonArray *items;   /* shards or workers */
  JsonArray *missing; /* shards that did not answer */
  GHashTable *totals; /* account to JsonObject of sums */
  bool wants_workers;
};

struct gather_part
{
  struct gather *gather;
  char shard[GR_NAME_MAX];
};

static const char *const sums[] = {
  "guaranteed", "used", "borrowed", "waiting", "waiting_jobs",
};

static const char *const shard_numbers[] = {
  "epoch",        "free",         "largest_free_block",
  "jobs_waiting", "jobs_running", "preemptions",
};

static void
part_ended (struct gather *gather)
{
  if (--gather->waiting > 0)
    return;
  gather->render (gather);
  g_hash_table_destroy (gather->totals);
  g_free (gather);
}

/* Hands names, items and missing over to the answer. */
static void
render_list (struct gather *gather)
{
  gr_exchange_list (gather->exchange, gather->names, gather->items,
                    gather->missing);
}

static void
set_string (JsonObject *object, const char *name, const msgpack_object *map)
{
  char *text = gr_unpack_string (map, name);

  json_object_set_string_member (object, name, text != NULL ? text : "");
  g_free (text);
}

static void
add_accounts (struct gather *gather, const msgpack_object *body)
{
  size_t count;
  const msgpack_object *accounts = gr_unpack_array (body, "accounts", &count);

  for (size_t i = 0; i < count; i++)
    {
      char *name = gr_unpack_string (&accounts[i], "name");
      JsonObject *total;

      if (name == NULL)
        continue;
      total = g_hash_table_lookup (gather->totals, name);
      if (total == NULL)
        {
          total = json_object_new ();
          g_hash_table_insert (gather->totals, g_strdup (name), total);
        }
      for (size_t j = 0; j < G_N_ELEMENTS (sums); j++)
        json_object_set_int_member (
            total, sums[j],
            json_object_get_int_member_with_default (total, sums[j], 0)
                + gr_unpack_int (&accounts[i], sums[j], 0));
      if (gr_unpack_bool (&accounts[i], "guarantee_impossible", false))
        json_object_set_boolean_member (total, "guarantee_impossible", TRUE);
      g_free (name);
    }
}

static void
add_workers (struct gather *gather,
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
      g_ptr_array_add (gather->names,
                       g_strdup (json_object_get_string_member (item, "name")));
      json_array_add_object_element (gather->items, item);
    }
}

static void
add_shard (struct gather *gather,
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
      for (size_t i = 0; i < G_N_ELEMENTS (shard_numbers); i++)
        json_object_set_int_member (item, shard_numbers[i],
                                    gr_unpack_int (body, shard_numbers[i], 0));
      json_object_set_boolean_member (
          item, "witness_holds", gr_unpack_bool (body, "witness_holds", false));
    }
  g_ptr_array_add (gather->names, g_strdup (shard));
  json_array_add_object_element (gather->items, item);
}

static void
add_part (struct gather *gather, const char *shard, const msgpack_object *body)
{
  struct gr_entry *entry = gather->exchange->entry;
  const char *address = NULL;
  uint64_t epoch;

  if (body == NULL)
    json_array_add_string_element (gather->missing, shard);
  else
    add_accounts (gather, body);
  if (gather->wants_workers && body != NULL)
    add_workers (gather, shard, body);
  if (gather->wants_workers)
    return;
  address = gr_members_shard_owner (entry->members, shard,
                                    gr_clock_now_ms (entry->clock), &epoch);
  add_shard (gather, shard, address, body);
}

static void
part_done (const msgpack_object *body,
           const struct gr_error *error,
           void *context)
{
  struct gather_part *part = context;
  struct gather *gather = part->gather;

  add_part (gather, part->shard, error == NULL ? body : NULL);
  g_free (part);
  part_ended (gather);
}

static void
ask_shard (struct gather *gather, const char *shard)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *body = gr_packer_create ();
  struct gather_part *part = g_new0 (struct gather_part, 1);

  part->gather = gather;
  g_strlcpy (part->shard, shard, sizeof part->shard);
  gr_pack_string (body, "shard", shard);
  gather->waiting++;
  if (!gr_owner_call (gather->exchange->entry, shard, "shard.status", body,
                      part_done, part, &error))
    part_done (NULL, &error, part);
  gr_packer_destroy (body);
}

/* Asks one shard, or all if shard is NULL. */
static void
gather_begin (struct gr_exchange *exchange,
              const char *only,
              bool wants_workers,
              void (*render) (struct gather *gather))
{
  struct gather *gather = g_new0 (struct gather, 1);
  char **shards = gr_entry_shards (exchange->entry);

  gather->exchange = exchange;
  gather->render = render;
  gather->wants_workers = wants_workers;
  gather->names = g_ptr_array_new_with_free_func (g_free);
  gather->items = json_array_new ();
  gather->missing = json_array_new ();
  gather->totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)json_object_unref);
  gather->waiting = 1;
  gr_exchange_pause (exchange);
  for (size_t i = 0; shards[i] != NULL; i++)
    if (only == NULL || strcmp (only, shards[i]) == 0)
      ask_shard (gather, shards[i]);
  g_strfreev (shards);
  part_ended (gather);
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
account_to_json (struct gather *gather,
                 const struct gr_account_settings *account)
{
  struct gr_entry *entry = gather->exchange->entry;
  JsonObject *total = g_hash_table_lookup (gather->totals, account->name);
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
  for (size_t i = 0; i < G_N_ELEMENTS (sums); i++)
    json_object_set_int_member (
        item, sums[i],
        total != NULL
            ? json_object_get_int_member_with_default (total, sums[i], 0)
            : 0);
  if (total != NULL)
    impossible = json_object_get_boolean_member_with_default (
        total, "guarantee_impossible", FALSE);
  json_object_set_boolean_member (item, "guarantee_impossible", impossible);
  return item;
}

static void
drop_items (struct gather *gather)
{
  g_ptr_array_unref (gather->names);
  json_array_unref (gather->items);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
render_accounts (struct gather *gather)
{
  struct gr_entry *entry = gather->exchange->entry;
  GHashTableIter iter;
  void *name;

  drop_items (gather);
  gather->names = g_ptr_array_new_with_free_func (g_free);
  gather->items = json_array_new ();
  g_hash_table_iter_init (&iter, entry->accounts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (gather->names, g_strdup (name));
  g_ptr_array_sort (gather->names, compare_names);
  for (guint i = 0; i < gather->names->len; i++)
    json_array_add_object_element (
        gather->items,
        account_to_json (gather,
                         gr_entry_account (entry, gather->names->pdata[i])));
  render_list (gather);
}

static void
render_account (struct gather *gather)
{
  struct gr_exchange *exchange = gather->exchange;
  const struct gr_account_settings *account =
      gr_entry_account (exchange->entry, exchange->rest);
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *item;

  drop_items (gather);
  if (account == NULL)
    {
      json_array_unref (gather->missing);
      gr_error_set (&error, GR_ERROR_UNKNOWN_ACCOUNT,
                    "there is no account \"%.64s\"", exchange->rest);
      gr_exchange_fail (exchange, &error);
      return;
    }
  item = account_to_json (gather, account);
  if (json_array_get_length (gather->missing) > 0)
    json_object_set_array_member (item, "missing_shards",
                                  json_array_ref (gather->missing));
  json_array_unref (gather->missing);
  gr_exchange_json (exchange, 200, item);
}

/* Workers come shard by shard; pages need one order. */
static void
render_workers (struct gather *gather)
{
  GPtrArray *sorted = g_ptr_array_new_with_free_func (g_free);
  JsonArray *items = json_array_new ();
  GHashTable *by_name =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, NULL);

  for (guint i = 0; i < gather->names->len; i++)
    {
      g_hash_table_insert (by_name, gather->names->pdata[i],
                           json_array_get_element (gather->items, i));
      g_ptr_array_add (sorted, g_strdup (gather->names->pdata[i]));
    }
  g_ptr_array_sort (sorted, compare_names);
  for (guint i = 0; i < sorted->len; i++)
    json_array_add_element (items, json_node_copy (g_hash_table_lookup (
                                       by_name, sorted->pdata[i])));
  g_hash_table_destroy (by_name);
  drop_items (gather);
  gather->names = sorted;
  gather->items = items;
  render_list (gather);
}

void
gr_admin_accounts (struct gr_exchange *exchange)
{
  gather_begin (exchange, NULL, true, render_accounts);
}

void
gr_admin_account (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;

  if (gr_exchange_may (exchange, exchange->rest, &error))
    gather_begin (exchange, NULL, true, render_account);
  else
    gr_exchange_fail (exchange, &error);
}

void
gr_admin_shards (struct gr_exchange *exchange)
{
  gather_begin (exchange, NULL, false, render_list);
}

void
gr_admin_workers (struct gr_exchange *exchange)
{
  gather_begin (exchange, gr_exchange_query (exchange, "shard"), true,
                render_workers);
}

/* What a member said of itself counts only as long as it is heard from. */
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
      bool heard = member->heard_ms > 0;

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
                                  heard ? now_ms - member->heard_ms : -1);
      json_object_set_boolean_member (item, "ready",
                                      gr_member_is_ready (member, now_ms));
      g_ptr_array_add (names, g_strdup (member->name));
      json_array_add_object_element (items, item);
    }
  g_array_unref (members);
  gr_exchange_list (exchange, names, items, NULL);
}

void
gr_admin_drain (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  JsonObject *answer = json_object_new ();

  json_object_set_string_member (answer, "state", "leaving");
  gr_entry_stop (entry);
  gr_exchange_json (exchange, 202, answer);
}

static void
drain_done (const msgpack_object *body,
            const struct gr_error *error,
            void *context)
{
  struct gr_exchange *exchange = context;
  struct gr_error problem = GR_ERROR_INIT;
  JsonObject *answer;

  if (error != NULL)
    {
      problem = gr_owner_error (exchange->entry, error, false);
      gr_exchange_fail (exchange, &problem);
      return;
    }
  answer = json_object_new ();
  set_string (answer, "state", body);
  gr_exchange_json (exchange, 202, answer);
}

void
gr_admin_drain_shard (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *body;
  char *shard;

  if (!g_str_has_suffix (exchange->rest, "/drain"))
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND, "no such resource");
      gr_exchange_fail (exchange, &error);
      return;
    }
  shard =
      g_strndup (exchange->rest, strlen (exchange->rest) - strlen ("/drain"));
  body = gr_packer_create ();
  gr_pack_string (body, "shard", shard);
  gr_exchange_pause (exchange);
  if (!gr_owner_call (exchange->entry, shard, "shard.drain", body, drain_done,
                      exchange, &error))
    gr_exchange_fail (exchange, &error);
  gr_packer_destroy (body);
  g_free (shard);
}
