#include "members/peers.h"

#include <string.h>

/* Longer than a round trip to another region, shorter than
 * GR_MEMBER_TIMEOUT_MS, after which a member without contact is not ready. */
#define HEARTBEAT_TIMEOUT_MS 1500

struct gr_peers
{
  struct gr_members *members;
  const struct gr_clock *clock;
  struct gr_member self;
  void (*fill) (struct gr_member *self, void *context);
  void (*round) (int64_t sent_ms, void *context);
  void *context;
  GHashTable *clients; /* address to struct gr_rpc_client */
  guint timer;
  bool stopping;
};

/* One round of heartbeats; freed when its last call has ended. */
struct heartbeat_round
{
  struct gr_peers *peers;
  int64_t sent_ms;
  uint32_t pending;
};

static enum gr_member_state
state_from_name (const char *name)
{
  for (int state = 0; state <= GR_MEMBER_LEAVING; state++)
    if (strcmp (gr_member_state_name (state), name) == 0)
      return (enum gr_member_state)state;
  return GR_MEMBER_STALE;
}

static void
pack_shards (struct gr_packer *packer, const struct gr_member *member)
{
  gr_pack_array_begin (packer, "shards");
  for (uint32_t i = 0; i < member->n_shards; i++)
    {
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "name", member->shards[i].name);
      gr_pack_int (element, "epoch", (int64_t)member->shards[i].epoch);
      gr_pack_array_add (packer, element);
    }
  gr_pack_array_end (packer);
}

/* Ages are sent instead of times, since the monotonic clocks of two processes
 * differ. */
static void
pack_leaving_notices (struct gr_packer *packer,
                      const struct gr_members *members,
                      int64_t now_ms)
{
  GArray *notices = gr_members_leaving_notices (members, now_ms);

  gr_pack_array_begin (packer, "leaving");
  for (guint i = 0; i < notices->len; i++)
    {
      const struct gr_leaving_notice *notice =
          &g_array_index (notices, struct gr_leaving_notice, i);
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "target", notice->target);
      gr_pack_int (element, "age_ms", now_ms - notice->seen_ms);
      gr_pack_array_add (packer, element);
    }
  gr_pack_array_end (packer);
  g_array_unref (notices);
}

/* Packs the state of this process, and applies it to the member table as
 * well. */
static struct gr_packer *
pack_self (struct gr_peers *peers, int64_t now_ms)
{
  struct gr_packer *packer = gr_packer_create ();
  struct gr_member *self = &peers->self;

  self->n_shards = 0;
  peers->fill (self, peers->context);
  gr_members_update_from_reply (peers->members, self, now_ms);
  gr_pack_string (packer, "instance", self->name);
  gr_pack_string (packer, "role",
                  self->role == GR_ROLE_SCHEDULER ? "scheduler" : "entry");
  gr_pack_string (packer, "address", self->address);
  gr_pack_string (packer, "data_centre", self->data_centre);
  gr_pack_string (packer, "incarnation", self->incarnation);
  gr_pack_string (packer, "state", gr_member_state_name (self->state));
  gr_pack_int (packer, "settings_revision", self->settings_revision);
  gr_pack_int (packer, "settings_digest", (int64_t)self->settings_digest);
  gr_pack_int (packer, "unix_ms", gr_clock_unix_ms ());
  pack_shards (packer, self);
  pack_leaving_notices (packer, peers->members, now_ms);
  return packer;
}

static bool
read_name (const msgpack_object *map, const char *key, char *buffer)
{
  char *text = gr_unpack_string (map, key);
  bool fits = text != NULL && strlen (text) < GR_NAME_MAX;

  if (fits)
    g_strlcpy (buffer, text, GR_NAME_MAX);
  g_free (text);
  return fits;
}

static void
read_shards (const msgpack_object *map, struct gr_member *reported)
{
  size_t count;
  const msgpack_object *elements = gr_unpack_array (map, "shards", &count);

  for (size_t i = 0;
       i < count && reported->n_shards < G_N_ELEMENTS (reported->shards); i++)
    {
      struct gr_member_shard *shard = &reported->shards[reported->n_shards];

      if (!read_name (&elements[i], "name", shard->name))
        continue;
      shard->epoch = (uint64_t)gr_unpack_int (&elements[i], "epoch", 0);
      reported->n_shards++;
    }
}

static bool
read_reported (const msgpack_object *map, struct gr_member *reported)
{
  char role[GR_NAME_MAX];
  char state[GR_NAME_MAX];

  memset (reported, 0, sizeof *reported);
  if (!read_name (map, "instance", reported->name)
      || !read_name (map, "role", role)
      || !read_name (map, "address", reported->address)
      || !read_name (map, "data_centre", reported->data_centre)
      || !read_name (map, "incarnation", reported->incarnation)
      || !read_name (map, "state", state))
    return false;
  reported->role =
      strcmp (role, "scheduler") == 0 ? GR_ROLE_SCHEDULER : GR_ROLE_ENTRY;
  reported->state = state_from_name (state);
  reported->settings_revision = gr_unpack_int (map, "settings_revision", 0);
  reported->settings_digest =
      (uint64_t)gr_unpack_int (map, "settings_digest", 0);
  read_shards (map, reported);
  return true;
}

/* asked_ms: when the call was sent that the peer answers with these notices. */
static void
apply_leaving_notices (struct gr_peers *peers,
                       const msgpack_object *map,
                       int64_t asked_ms,
                       int64_t now_ms)
{
  size_t count;
  const msgpack_object *elements = gr_unpack_array (map, "leaving", &count);

  for (size_t i = 0; i < count; i++)
    {
      char target[GR_NAME_MAX];
      int64_t age_ms = gr_unpack_int (&elements[i], "age_ms", 0);

      if (age_ms < 0 || age_ms > GR_LEAVING_PROPAGATE_MS
          || !read_name (&elements[i], "target", target))
        continue;
      gr_members_record_target_leaving (peers->members, target,
                                        asked_ms - age_ms, now_ms - age_ms);
    }
}

static void
round_call_done (struct heartbeat_round *round)
{
  if (--round->pending > 0)
    return;
  if (!round->peers->stopping && round->peers->round != NULL)
    round->peers->round (round->sent_ms, round->peers->context);
  g_free (round);
}

static void
heartbeat_done (const msgpack_object *body,
                const struct gr_error *error,
                void *context)
{
  struct heartbeat_round *round = context;
  struct gr_peers *peers = round->peers;
  struct gr_member reported;

  if (error == NULL && !peers->stopping && read_reported (body, &reported))
    {
      gr_members_update_from_reply (peers->members, &reported, round->sent_ms);
      apply_leaving_notices (peers, body, round->sent_ms,
                             gr_clock_now_ms (peers->clock));
    }
  round_call_done (round);
}

static bool
is_self (const struct gr_peers *peers, const struct gr_member *member)
{
  return member->role == peers->self.role
         && strcmp (member->name, peers->self.name) == 0;
}

/* Removes the clients from the table before destroying them, since the
 * callbacks of their calls may request other clients. */
static void
drop_unused_clients (struct gr_peers *peers, const GArray *list)
{
  GPtrArray *unused = g_ptr_array_new ();
  GHashTableIter iter;
  void *address;
  void *client;

  g_hash_table_iter_init (&iter, peers->clients);
  while (g_hash_table_iter_next (&iter, &address, &client))
    {
      bool used = false;

      for (guint i = 0; i < list->len && !used; i++)
        used =
            strcmp (g_array_index (list, struct gr_member, i).address, address)
            == 0;
      if (used)
        continue;
      g_ptr_array_add (unused, client);
      g_hash_table_iter_steal (&iter);
      g_free (address);
    }
  for (guint i = 0; i < unused->len; i++)
    gr_rpc_client_destroy (unused->pdata[i]);
  g_ptr_array_free (unused, TRUE);
}

static gboolean
send_round (gpointer data)
{
  struct gr_peers *peers = data;
  struct heartbeat_round *round = g_new0 (struct heartbeat_round, 1);
  int64_t now_ms = gr_clock_now_ms (peers->clock);
  struct gr_packer *body = pack_self (peers, now_ms);
  GArray *list = gr_members_list (peers->members);

  drop_unused_clients (peers, list);
  round->peers = peers;
  round->sent_ms = now_ms;
  round->pending = 1;
  for (guint i = 0; i < list->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (list, struct gr_member, i);

      if (is_self (peers, member) || member->address[0] == '\0')
        continue;
      round->pending++;
      gr_rpc_call (gr_peers_client (peers, member->address), "peer.heartbeat",
                   body, HEARTBEAT_TIMEOUT_MS, heartbeat_done, round);
    }
  g_array_unref (list);
  gr_packer_destroy (body);
  round_call_done (round);
  return G_SOURCE_CONTINUE;
}

struct gr_peers *
gr_peers_create (struct gr_members *members,
                 const struct gr_clock *clock,
                 const char *name,
                 enum gr_instance_role role,
                 const char *rpc_address,
                 const char *data_centre,
                 void (*fill) (struct gr_member *self, void *context),
                 void (*round) (int64_t sent_ms, void *context),
                 void *context)
{
  struct gr_peers *peers = g_new0 (struct gr_peers, 1);
  struct gr_member *self = &peers->self;

  peers->members = members;
  peers->clock = clock;
  peers->fill = fill;
  peers->round = round;
  peers->context = context;
  self->role = role;
  g_strlcpy (self->name, name, sizeof self->name);
  g_strlcpy (self->address, rpc_address, sizeof self->address);
  g_strlcpy (self->data_centre, data_centre, sizeof self->data_centre);
  g_snprintf (self->incarnation, sizeof self->incarnation,
              "%" G_GINT64_FORMAT "-%08x", (gint64)gr_clock_unix_ms (),
              g_random_int ());
  peers->clients = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)gr_rpc_client_destroy);
  peers->timer = g_timeout_add (GR_HEARTBEAT_MS, send_round, peers);
  return peers;
}

void
gr_peers_destroy (struct gr_peers *peers)
{
  if (peers == NULL)
    return;
  peers->stopping = true;
  g_source_remove (peers->timer);
  g_hash_table_destroy (peers->clients);
  g_free (peers);
}

const char *
gr_peers_incarnation (const struct gr_peers *peers)
{
  return peers->self.incarnation;
}

void
gr_peers_handle_heartbeat (struct gr_peers *peers,
                           struct gr_rpc_call *call,
                           const msgpack_object *body)
{
  int64_t now_ms = gr_clock_now_ms (peers->clock);
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *reply;
  struct gr_member reported;

  if (!read_reported (body, &reported))
    {
      gr_error_set (&error, GR_ERROR_BAD_REQUEST,
                    "invalid heartbeat: name, role, address, data centre, "
                    "incarnation or state is missing or too long");
      gr_rpc_fail (call, &error);
      return;
    }
  gr_members_update_from_call (peers->members, &reported, now_ms);
  apply_leaving_notices (peers, body, now_ms, now_ms);
  reply = pack_self (peers, now_ms);
  gr_rpc_reply (call, reply);
  gr_packer_destroy (reply);
}

struct gr_rpc_client *
gr_peers_client (struct gr_peers *peers, const char *address)
{
  struct gr_rpc_client *client = g_hash_table_lookup (peers->clients, address);

  if (client == NULL)
    {
      client = gr_rpc_client_create (address);
      g_hash_table_insert (peers->clients, g_strdup (address), client);
    }
  return client;
}
