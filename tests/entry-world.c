#include "tests/entry-world.h"

#include "common/log.h"
#include "http/json.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char platform_text[] = "[members]\n"
                                    "entry_instances = 2\n"
                                    "[shards]\n"
                                    "names = dc1\n";

static void
iterate (void)
{
  if (!g_main_context_iteration (NULL, FALSE))
    g_usleep (500);
}

void
world_until (bool (*check) (void *context), void *context)
{
  while (!check (context))
    iterate ();
}

void
world_sleep (int64_t ms)
{
  int64_t end = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end)
    iterate ();
}

static void
seed_done (const struct gr_kv_result *result,
           const struct gr_error *error,
           void *context)
{
  (void)result;
  ck_assert_ptr_null (error);
  ((struct world *)context)->seeded = true;
}

static void
put_team (struct gr_kv_txn *txn, const char *name, double rate_per_s)
{
  char *token = g_strconcat ("token-", name, NULL);
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
  char *key = g_strconcat (GR_SETTINGS_PREFIX, "teams/", name, NULL);
  char *text = g_strdup_printf ("[account]\n"
                                "rate_per_s = %.0f\n"
                                "token_sha256 = %s\n",
                                rate_per_s, hash);

  gr_kv_txn_put (txn, key, text, strlen (text), 0);
  g_free (token);
  g_free (hash);
  g_free (key);
  g_free (text);
}

static bool
is_seeded (void *context)
{
  return ((struct world *)context)->seeded;
}

static void
seed_settings (struct world *world, const char *url)
{
  struct gr_counters *counters = gr_counters_create ();
  struct gr_kv *kv = gr_kv_create (url, 10, 10, counters);
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  gr_kv_txn_put (txn, GR_SETTINGS_PREFIX "platform", platform_text,
                 strlen (platform_text), 0);
  put_team (txn, "a", 1000000);
  put_team (txn, "b", 1000000);
  put_team (txn, "slow", 30);
  gr_kv_commit (kv, "seed", txn, 5000, seed_done, world);
  world_until (is_seeded, world);
  gr_kv_destroy (kv);
  gr_counters_destroy (counters);
}

static void
start_entry (struct world *world,
             uint32_t i,
             const char *kv_url,
             const char *list_url)
{
  struct gr_error error = GR_ERROR_INIT;
  char *text = g_strdup_printf ("[process]\n"
                                "instance = e%u\n"
                                "data_centre = dc1\n"
                                "[platform]\n"
                                "kv_url = %s\n"
                                "kv_timeout_ms = 1000\n"
                                "instances_url = %s\n",
                                i, kv_url, list_url);

  ck_assert (gr_document_process (text, &world->settings[i], &error));
  g_free (text);
  world->entries[i] = gr_entry_create (&world->settings[i], &error);
  ck_assert_msg (world->entries[i] != NULL, "%s", error.message);
  if (world->n_entries > 1)
    world->registrations[i] = gr_registration_create (
        list_url, world->settings[i].instance, "entry", "dc1",
        gr_entry_rpc_address (world->entries[i]));
}

static bool
are_ready (void *context)
{
  struct world *world = context;

  for (uint32_t i = 0; i < world->n_entries; i++)
    {
      struct gr_entry *entry = world->entries[i];
      struct gr_error error = GR_ERROR_INIT;
      GPtrArray *ready = gr_members_ready (entry->members, GR_ROLE_ENTRY,
                                           gr_clock_now_ms (entry->clock));
      guint n_ready = ready->len;

      g_ptr_array_unref (ready);
      if (!gr_entry_is_ready (entry, &error)
          || gr_executors_count (entry->executors) != world->n_executors
          || n_ready != world->n_entries)
        return false;
    }
  return true;
}

void
world_start (struct world *world,
             uint32_t n_entries,
             uint32_t n_executors,
             uint32_t slots)
{
  struct gr_error error = GR_ERROR_INIT;
  char *kv_url;
  char *list_url;

  memset (world, 0, sizeof *world);
  gr_log_set_level (G_LOG_LEVEL_ERROR);
  world->n_entries = n_entries;
  world->n_executors = n_executors;
  world->kv = gr_standin_kv_create ("127.0.0.1:0", &error);
  world->list = gr_standin_instances_create ("127.0.0.1:0", &error);
  kv_url = g_strconcat (
      "http://", gr_standin_address (gr_standin_kv_base (world->kv)), NULL);
  list_url = g_strconcat (
      "http://", gr_standin_address (gr_standin_instances_base (world->list)),
      NULL);
  for (uint32_t i = 0; i < n_executors; i++)
    {
      char name[8];
      struct gr_standin_executor_settings settings = {
        .name = name,
        .data_centre = "dc1",
        .slots = slots,
        .instances_url = list_url,
      };

      g_snprintf (name, sizeof name, "x%u", i);
      world->executors[i] =
          gr_standin_executor_create ("127.0.0.1:0", &settings, &error);
    }
  seed_settings (world, kv_url);
  /* Lets the executors register before the entries read the list. */
  world_sleep (50);
  for (uint32_t i = 0; i < n_entries; i++)
    start_entry (world, i, kv_url, list_url);
  world_until (are_ready, world);
  g_free (kv_url);
  g_free (list_url);
}

void
world_stop (struct world *world)
{
  for (uint32_t i = 0; i < world->n_entries; i++)
    {
      gr_registration_destroy (world->registrations[i]);
      gr_entry_destroy (world->entries[i]);
      gr_process_settings_clear (&world->settings[i]);
    }
  for (uint32_t i = 0; i < world->n_executors; i++)
    gr_standin_executor_destroy (world->executors[i]);
  gr_standin_instances_destroy (world->list);
  gr_standin_kv_destroy (world->kv);
}

struct gr_standin_faults *
world_kv_faults (struct world *world)
{
  return gr_standin_faults (gr_standin_kv_base (world->kv));
}

uint32_t
world_started (const struct world *world, const char *key)
{
  uint32_t started = 0;

  for (uint32_t i = 0; i < world->n_executors; i++)
    {
      const struct gr_executor_key_counts *stored =
          gr_standin_executor_key_counts (world->executors[i], key);

      started += stored != NULL ? stored->started : 0;
    }
  return started;
}

static struct client *
open_address (const char *address)
{
  struct client *client = g_new0 (struct client, 1);
  GSocketConnectable *target = g_network_address_parse (address, 0, NULL);
  GSocketAddress *to = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (G_NETWORK_ADDRESS (target)),
      g_network_address_get_port (G_NETWORK_ADDRESS (target)));

  client->received = g_string_new (NULL);
  client->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);
  ck_assert (g_socket_connect (client->socket, to, NULL, NULL));
  g_socket_set_blocking (client->socket, FALSE);
  g_object_unref (to);
  g_object_unref (target);
  return client;
}

struct client *
client_open (struct world *world, uint32_t entry)
{
  return open_address (gr_entry_http_address (world->entries[entry]));
}

void
client_send (struct client *client, const void *data, gsize size)
{
  gsize sent = 0;

  while (sent < size)
    {
      gssize part = g_socket_send (client->socket, (const char *)data + sent,
                                   size - sent, NULL, NULL);

      if (part > 0)
        sent += (gsize)part;
      else if (g_socket_condition_check (client->socket, G_IO_HUP | G_IO_ERR))
        return; /* the server has refused the request early */
      iterate ();
    }
}

static bool
take_reply (struct client *client, struct reply *reply)
{
  const char *end = strstr (client->received->str, "\r\n\r\n");
  const char *length;
  gsize header_size;
  gsize size = 0;

  if (end == NULL)
    return false;
  header_size = (gsize)(end - client->received->str) + 4;
  length = strstr (client->received->str, "Content-Length: ");
  if (length != NULL && length < end)
    size = (gsize)g_ascii_strtoull (length + strlen ("Content-Length: "), NULL,
                                    10);
  if (client->received->len < header_size + size)
    return false;
  reply->status = atoi (client->received->str + strlen ("HTTP/1.1 "));
  reply->headers = g_strndup (client->received->str, header_size);
  reply->body = g_strndup (client->received->str + header_size, size);
  reply->size = size;
  g_string_erase (client->received, 0, (gssize)(header_size + size));
  return true;
}

bool
client_poll (struct client *client, struct reply *reply)
{
  char buffer[4096];
  gssize size;

  memset (reply, 0, sizeof *reply);
  iterate ();
  while ((size = g_socket_receive (client->socket, buffer, sizeof buffer, NULL,
                                   NULL))
         > 0)
    g_string_append_len (client->received, buffer, size);
  return take_reply (client, reply) || size == 0;
}

void
client_read (struct client *client, struct reply *reply)
{
  while (!client_poll (client, reply))
    ;
}

void
client_close (struct client *client)
{
  g_socket_close (client->socket, NULL);
  g_object_unref (client->socket);
  g_string_free (client->received, TRUE);
  g_free (client);
}

void
reply_clear (struct reply *reply)
{
  g_free (reply->headers);
  g_free (reply->body);
  memset (reply, 0, sizeof *reply);
}

static JsonObject *
reply_json (const struct reply *reply)
{
  struct gr_error error = GR_ERROR_INIT;
  GBytes *bytes = g_bytes_new (reply->body, reply->size);
  JsonObject *object = gr_json_parse (bytes, &error);

  g_bytes_unref (bytes);
  ck_assert_msg (object != NULL, "not JSON: %s", reply->body);
  return object;
}

char *
reply_text (const struct reply *reply, const char *name)
{
  JsonObject *object = reply_json (reply);
  const char *stored = gr_json_peek_string (object, name);
  char *text = g_strdup (stored != NULL ? stored : "");

  json_object_unref (object);
  return text;
}

int64_t
reply_number (const struct reply *reply, const char *name)
{
  JsonObject *object = reply_json (reply);
  int64_t value = -1;

  gr_json_get_int (object, name, 0, INT64_MAX, -1, &value);
  json_object_unref (object);
  return value;
}

static struct reply
call_address (const char *address,
              const char *method,
              const char *path,
              const char *headers,
              const char *body)
{
  struct client *client = open_address (address);
  struct reply reply;
  char *text = g_strdup_printf ("%s %s HTTP/1.1\r\n"
                                "Host: test\r\n"
                                "Content-Length: %zu\r\n"
                                "%s\r\n%s",
                                method, path, strlen (body), headers, body);

  client_send (client, text, strlen (text));
  client_read (client, &reply);
  client_close (client);
  g_free (text);
  return reply;
}

struct reply
world_call (struct world *world,
            uint32_t entry,
            const char *method,
            const char *path,
            const char *headers,
            const char *body)
{
  return call_address (gr_entry_http_address (world->entries[entry]), method,
                       path, headers, body);
}

void
world_control (struct world *world, uint32_t executor, const char *body)
{
  struct gr_standin *base =
      gr_standin_executor_base (world->executors[executor]);
  struct reply reply =
      call_address (gr_standin_address (base), "POST", "/control", "", body);

  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
}

char *
request_text (const char *key, const char *more_headers, const char *body)
{
  return g_strdup_printf ("POST /v1/requests HTTP/1.1\r\n"
                          "Host: test\r\n"
                          "Authorization: Bearer token-a\r\n"
                          "Geraniumrack-Account: a\r\n"
                          "Idempotency-Key: %s\r\n"
                          "Content-Length: %zu\r\n"
                          "%s\r\n%s",
                          key, strlen (body), more_headers, body);
}

struct reply
world_request (struct world *world,
               uint32_t entry,
               const char *key,
               const char *more_headers,
               const char *body)
{
  struct client *client = client_open (world, entry);
  char *text = request_text (key, more_headers, body);
  struct reply reply;

  client_send (client, text, strlen (text));
  client_read (client, &reply);
  client_close (client);
  g_free (text);
  return reply;
}
