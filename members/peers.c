#include "members/peers.h"

#include <string.h>

/* Above the time of a round trip to another region, below the time after which
 * a silent member is not ready. */
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

/* One round of heartbeats; freed when its last answer is in. */
struct heartbeat_round
{
  struct gr_peers *peers;
  int64_t sent_ms;
  uint32_t waiting;
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

/* Ages and not times are sent: the clocks of two processes differ. */
static void
pack_signs (struct gr_packer *packer,
            const struct gr_members *members,
            int64_t now_ms)
{
  GArray *signs = gr_members_leaving_signs (members, now_ms);

  gr_pack_array_begin (packer, "leaving");
  for (guint i = 0; i < signs->len; i++)
    {
      const struct gr_leaving_sign *sign =
          &g_array_index (signs, struct gr_leaving_sign, i);
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "target", sign->target);
      gr_pack_int (element, "age_ms", now_ms - sign->seen_ms);
      gr_pack_array_add (packer, element);
    }
  gr_pack_array_end (packer);
  g_array_unref (signs);
}

/* What this process says of itself, also taken into the table. */
static struct gr_packer *
pack_self (struct gr_peers *peers, int64_t now_ms)
{
  struct gr_packer *packer = gr_packer_create ();
  struct gr_member *self = &peers->self;

  self->n_shards = 0;
  peers->fill (self, peers->context);
  gr_members_answered (peers->members, self, now_ms);
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
  pack_signs (packer, peers->members, now_ms);
  return packer;
}

static bool
read_name (const msgpack_object *map, const char *key, char *to)
{
  char *text = gr_unpack_string (map, key);
  bool fits = text != NULL && strlen (text) < GR_NAME_MAX;

  if (fits)
    g_strlcpy (to, text, GR_NAME_MAX);
  g_free (text);
  return fits;
}

static void
read_shards (const msgpack_object *map, struct gr_member *said)
{
  size_t count;
  const msgpack_object *elements = gr_unpack_array (map, "shards", &count);

  for (size_t i = 0; i < count && said->n_shards < G_N_ELEMENTS (said->shards);
       i++)
    {
      struct gr_member_shard *shard = &said->shards[said->n_shards];

      if (!read_name (&elements[i], "name", shard->name))
        continue;
      shard->epoch = (uint64_t)gr_unpack_int (&elements[i], "epoch", 0);
      said->n_shards++;
    }
}

static bool
read_said (const msgpack_object *map, struct gr_member *said)
{
  char role[GR_NAME_MAX];
  char state[GR_NAME_MAX];

  memset (said, 0, sizeof *said);
  if (!read_name (map, "instance", said->name) || !read_name (map, "role", role)
      || !read_name (map, "address", said->address)
      || !read_name (map, "data_centre", said->data_centre)
      || !read_name (map, "incarnation", said->incarnation)
      || !read_name (map, "state", state))
    return false;
  said->role =
      strcmp (role, "scheduler") == 0 ? GR_ROLE_SCHEDULER : GR_ROLE_ENTRY;
  said->state = state_from_name (state);
  said->settings_revision = gr_unpack_int (map, "settings_revision", 0);
  said->settings_digest = (uint64_t)gr_unpack_int (map, "settings_digest", 0);
  read_shards (map, said);
  return true;
}

static void
take_signs (struct gr_peers *peers, const msgpack_object *map, int64_t now_ms)
{
  size_t count;
  const msgpack_object *elements = gr_unpack_array (map, "leaving", &count);

  for (size_t i = 0; i < count; i++)
    {
      char target[GR_NAME_MAX];
      int64_t age_ms = gr_unpack_int (&elements[i], "age_ms", 0);

      if (age_ms < 0 || age_ms > GR_LEAVING_SPREAD_MS
          || !read_name (&elements[i], "target", target))
        continue;
      gr_members_target_leaving (peers->members, target, now_ms - age_ms);
    }
}

static void
round_part_done (struct heartbeat_round *round)
{
  if (--round->waiting > 0)
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
  struct gr_member said;

  if (error == NULL && !peers->stopping && read_said (body, &said))
    {
      gr_members_answered (peers->members, &said, round->sent_ms);
      take_signs (peers, body, gr_clock_now_ms (peers->clock));
    }
  round_part_done (round);
}

static bool
is_self (const struct gr_peers *peers, const struct gr_member *member)
{
  return member->role == peers->self.role
         && strcmp (member->name, peers->self.name) == 0;
}

/* Clients are taken out of the table before they are destroyed, since the
 * callbacks of their calls may ask for other clients. */
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
  round->waiting = 1;
  for (guint i = 0; i < list->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (list, struct gr_member, i);

      if (is_self (peers, member) || member->address[0] == '\0')
        continue;
      round->waiting++;
      gr_rpc_call (gr_peers_client (peers, member->address), "peer.heartbeat",
                   body, HEARTBEAT_TIMEOUT_MS, heartbeat_done, round);
    }
  g_array_unref (list);
  gr_packer_destroy (body);
  round_part_done (round);
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
gr_peers_handle (struct gr_peers *peers,
                 struct gr_rpc_call *call,
                 const msgpack_object *body)
{
  int64_t now_ms = gr_clock_now_ms (peers->clock);
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *answer;
  struct gr_member said;

  if (!read_said (body, &said))
    {
      gr_error_set (&error, GR_ERROR_BAD_REQUEST,
                    "a heartbeat lacks a name, role, address or state");
      gr_rpc_fail (call, &error);
      return;
    }
  gr_members_heard (peers->members, &said, now_ms);
  take_signs (peers, body, now_ms);
  answer = pack_self (peers, now_ms);
  gr_rpc_answer (call, answer);
  gr_packer_destroy (answer);
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
