#include "entry/exchange.h"

#include "http/json.h"
#include "route/spread.h"

#include <string.h>

#define DEFAULT_LIMIT 100
#define MAX_LIMIT 1000

/* Constant-time comparison: equal and different hashes take the same time. */
static bool
hashes_equal (const char *a, const char *b)
{
  unsigned difference = 0;

  if (strlen (a) != GR_SHA256_HEX_BYTES - 1
      || strlen (b) != GR_SHA256_HEX_BYTES - 1)
    return false;
  for (size_t i = 0; i < GR_SHA256_HEX_BYTES - 1; i++)
    difference |= (unsigned)(g_ascii_tolower (a[i]) ^ g_ascii_tolower (b[i]));
  return difference == 0;
}

static bool
is_loopback (SoupServerMessage *message)
{
  GSocketAddress *address = soup_server_message_get_remote_address (message);

  if (address == NULL || !G_IS_INET_SOCKET_ADDRESS (address))
    return false;
  return g_inet_address_get_is_loopback (
      g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (address)));
}

static void
read_identity (struct gr_exchange *exchange)
{
  const char *header = gr_exchange_header (exchange, "Authorization");
  const char *operator_hash = exchange->entry->process->operator_token_sha256;
  char *hash;

  if (header == NULL)
    {
      exchange->local =
          operator_hash[0] == '\0' && is_loopback (exchange->message);
      exchange->is_operator = exchange->local;
      return;
    }
  /* The prefix "Bearer " is skipped if present. A header that does not
   * contain a valid token counts as a wrong token. */
  if (g_ascii_strncasecmp (header, "Bearer ", 7) == 0)
    header += 7;
  hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, header, -1);
  g_strlcpy (exchange->token_sha256, hash, sizeof exchange->token_sha256);
  exchange->is_operator = hashes_equal (hash, operator_hash);
  g_free (hash);
}

struct gr_exchange *
gr_exchange_create (struct gr_entry *entry,
                    SoupServerMessage *message,
                    const char *path,
                    GHashTable *query)
{
  struct gr_exchange *exchange = g_new0 (struct gr_exchange, 1);
  SoupMessageBody *body = soup_server_message_get_request_body (message);

  exchange->entry = entry;
  exchange->message = g_object_ref (message);
  exchange->path = g_strdup (path);
  exchange->path_suffix = exchange->path + strlen (exchange->path);
  exchange->query = query != NULL ? g_hash_table_ref (query) : NULL;
  exchange->body = soup_message_body_flatten (body);
  g_hash_table_add (entry->exchanges, exchange);
  read_identity (exchange);
  return exchange;
}

static void
exchange_finish (struct gr_exchange *exchange)
{
  g_hash_table_remove (exchange->entry->exchanges, exchange);
  if (exchange->paused)
    soup_server_message_unpause (exchange->message);
  g_object_unref (exchange->message);
  g_clear_pointer (&exchange->query, g_hash_table_unref);
  g_bytes_unref (exchange->body);
  g_free (exchange->path);
  g_free (exchange);
}

void
gr_exchange_pause (struct gr_exchange *exchange)
{
  if (exchange->paused)
    return;
  exchange->paused = true;
  soup_server_message_pause (exchange->message);
}

void
gr_exchange_send_bytes (struct gr_exchange *exchange,
                        guint status,
                        const char *content_type,
                        GBytes *body)
{
  SoupMessageHeaders *headers =
      soup_server_message_get_response_headers (exchange->message);

  soup_server_message_set_status (exchange->message, status, NULL);
  /* Makes clients close their connections to a stopping instance before it
   * closes idle keep-alive connections itself. */
  if (exchange->entry->stopping)
    soup_message_headers_replace (headers, "Connection", "close");
  if (content_type != NULL)
    soup_message_headers_replace (headers, "Content-Type", content_type);
  soup_message_body_append_bytes (
      soup_server_message_get_response_body (exchange->message), body);
  g_bytes_unref (body);
  exchange_finish (exchange);
}

void
gr_exchange_send_json (struct gr_exchange *exchange,
                       guint status,
                       JsonObject *object)
{
  gr_exchange_send_bytes (exchange, status, "application/json",
                          gr_json_to_bytes (object));
}

void
gr_exchange_fail_with (struct gr_exchange *exchange,
                       const struct gr_error *error,
                       JsonObject *extra)
{
  const struct gr_error_info *info = gr_error_info (error->kind);
  JsonObject *object = extra != NULL ? extra : json_object_new ();
  int64_t retry_ms = error->retry_after_ms;
  char *type = g_strconcat ("urn:geraniumrack:error:", info->name, NULL);
  char *detail = g_utf8_make_valid (error->message, -1);
  char text[24];

  if (retry_ms == 0 && info->run_state == GR_RUN_NOT_RUN)
    retry_ms = gr_retry_delay_ms (500, 1, 1, exchange->entry->random);
  json_object_set_string_member (object, "type", type);
  json_object_set_string_member (object, "title", info->title);
  json_object_set_int_member (object, "status", info->http_status);
  json_object_set_string_member (object, "detail", detail);
  json_object_set_string_member (object, "kind", info->name);
  json_object_set_string_member (object, "run_state",
                                 gr_run_state_name (info->run_state));
  json_object_set_int_member (object, "retry_after_ms", retry_ms);
  g_free (type);
  g_free (detail);
  if (retry_ms > 0)
    {
      g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT,
                  (gint64)((retry_ms + 999) / 1000));
      soup_message_headers_replace (
          soup_server_message_get_response_headers (exchange->message),
          "Retry-After", text);
    }
  gr_entry_increment_counter (exchange->entry, "http_errors_total", "kind",
                              info->name);
  gr_exchange_send_bytes (exchange, (guint)info->http_status,
                          "application/problem+json",
                          gr_json_to_bytes (object));
}

void
gr_exchange_fail (struct gr_exchange *exchange, const struct gr_error *error)
{
  gr_exchange_fail_with (exchange, error, NULL);
}

const char *
gr_exchange_header (struct gr_exchange *exchange, const char *name)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (exchange->message), name);

  return value != NULL && g_utf8_validate (value, -1, NULL) ? value : NULL;
}

const char *
gr_exchange_query (struct gr_exchange *exchange, const char *name)
{
  const char *value = NULL;

  if (exchange->query != NULL)
    value = g_hash_table_lookup (exchange->query, name);
  return value != NULL && g_utf8_validate (value, -1, NULL) ? value : NULL;
}

bool
gr_exchange_page_limit (struct gr_exchange *exchange,
                        uint32_t *limit,
                        struct gr_error *error)
{
  const char *text = gr_exchange_query (exchange, "limit");
  guint64 value = DEFAULT_LIMIT;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 1, MAX_LIMIT, &value, NULL))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "limit must be a number from 1 to %d", MAX_LIMIT);
  *limit = (uint32_t)value;
  return true;
}

static bool
is_account_token (struct gr_exchange *exchange)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, exchange->entry->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (hashes_equal (exchange->token_sha256,
                      ((struct gr_account_settings *)value)->token_sha256))
      return true;
  return false;
}

static bool
set_denied (struct gr_exchange *exchange, struct gr_error *error)
{
  if (exchange->token_sha256[0] == '\0')
    return gr_error_set (error, GR_ERROR_UNAUTHENTICATED,
                         "the header Authorization: Bearer TOKEN is missing");
  if (!is_account_token (exchange))
    return gr_error_set (error, GR_ERROR_UNAUTHENTICATED,
                         "the token is not valid");
  return gr_error_set (error, GR_ERROR_FORBIDDEN,
                       "the token belongs to another account");
}

bool
gr_exchange_authorize_account (struct gr_exchange *exchange,
                               const char *account,
                               struct gr_error *error)
{
  const struct gr_account_settings *settings =
      gr_entry_account (exchange->entry, account);

  if (exchange->is_operator)
    return true;
  if (settings != NULL
      && hashes_equal (exchange->token_sha256, settings->token_sha256))
    return true;
  return set_denied (exchange, error);
}

bool
gr_exchange_authorize_operator (struct gr_exchange *exchange,
                                struct gr_error *error)
{
  return exchange->is_operator || set_denied (exchange, error);
}

void
gr_exchange_send_list (struct gr_exchange *exchange,
                       GPtrArray *names,
                       JsonArray *items,
                       JsonArray *missing)
{
  struct gr_error error = GR_ERROR_INIT;
  const char *after = gr_exchange_query (exchange, "after");
  JsonObject *response = json_object_new ();
  JsonArray *page = json_array_new ();
  uint32_t limit = 0;
  guint i = 0;

  if (!gr_exchange_page_limit (exchange, &limit, &error))
    {
      json_array_unref (page);
      json_object_unref (response);
      gr_exchange_fail (exchange, &error);
    }
  else
    {
      while (i < names->len && after != NULL
             && strcmp (names->pdata[i], after) <= 0)
        i++;
      for (; i < names->len && json_array_get_length (page) < limit; i++)
        json_array_add_element (
            page, json_node_copy (json_array_get_element (items, i)));
      json_object_set_array_member (response, "items", page);
      if (i < names->len)
        json_object_set_string_member (response, "next", names->pdata[i - 1]);
      if (missing != NULL && json_array_get_length (missing) > 0)
        json_object_set_array_member (response, "missing_shards",
                                      json_array_ref (missing));
      gr_exchange_send_json (exchange, 200, response);
    }
  g_ptr_array_unref (names);
  json_array_unref (items);
  g_clear_pointer (&missing, json_array_unref);
}
