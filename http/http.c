#include "http/http.h"

#include "common/deadlines.h"
#include "common/log.h"

#include <stddef.h>
#include <string.h>

#define READ_BYTES 65536

/* A process has connections to a few hundred targets. With libsoup's default
 * limit of 10 connections, calls would wait for each other. */
#define MAX_CONNECTIONS 4096

/* Shorter than the idle timeout of gr_http_server (60 s), so that the client
 * closes idle connections first and rarely sends a request on a connection that
 * the server is closing. */
#define IDLE_TIMEOUT_S 20

struct gr_http
{
  SoupSession *session;
  GHashTable *calls;
  GHashTable *open_calls; /* limit_key -> count */
  struct gr_deadlines *deadlines;
  struct gr_deadlines *own_deadlines; /* NULL if shared */
};

struct http_call
{
  struct gr_http *http; /* NULL after gr_http_destroy () */
  SoupMessage *message;
  GCancellable *cancellable;
  GInputStream *stream;
  GByteArray *received;
  struct gr_deadline deadline;
  char *limit_key;
  uint32_t timeout_ms;
  bool written;  /* bytes of the request may have been sent */
  bool finished; /* done was called */
  bool may_resend;
  bool needs_length;
  bool resent;
  struct gr_error refusal;
  void (*done) (const struct gr_http_response *response,
                const struct gr_error *error,
                void *context);
  void *context;
};

static void read_more (struct http_call *call);

static void
call_free (struct http_call *call)
{
  gr_deadline_clear (&call->deadline);
  if (call->message != NULL)
    g_signal_handlers_disconnect_by_data (call->message, call);
  g_clear_object (&call->stream);
  g_clear_object (&call->message);
  g_clear_object (&call->cancellable);
  g_clear_pointer (&call->received, g_byte_array_unref);
  g_free (call->limit_key);
  g_free (call);
}

static void
add_open_calls (struct gr_http *http, const char *key, int change)
{
  int count;

  if (key == NULL)
    return;
  count = GPOINTER_TO_INT (g_hash_table_lookup (http->open_calls, key));
  count += change;
  if (count > 0)
    g_hash_table_replace (http->open_calls, g_strdup (key),
                          GINT_TO_POINTER (count));
  else
    g_hash_table_remove (http->open_calls, key);
}

/* Stops counting the call as one that uses its connection. */
static void
release_connection (struct http_call *call)
{
  if (call->http != NULL)
    add_open_calls (call->http, call->limit_key, -1);
  g_clear_pointer (&call->limit_key, g_free);
}

/* Frees the call. Must be called after libsoup's last operation on it. */
static void
end_call (struct http_call *call)
{
  release_connection (call);
  if (call->http != NULL)
    g_hash_table_remove (call->http->calls, call);
  call_free (call);
}

static void
deliver (struct http_call *call,
         const struct gr_http_response *response,
         const struct gr_error *error)
{
  if (call->finished)
    return;
  call->finished = true;
  call->done (response, error, call->context);
}

static void
deliver_error (struct http_call *call,
               enum gr_error_kind kind,
               const char *reason)
{
  struct gr_error error = GR_ERROR_INIT;

  if (!call->written)
    kind = GR_ERROR_NO_TARGET;
  gr_error_set (&error, kind, "%s", reason);
  deliver (call, NULL, &error);
}

static void
deliver_response (struct http_call *call)
{
  SoupMessageHeaders *headers =
      soup_message_get_response_headers (call->message);
  struct gr_http_response response = {
    .status = soup_message_get_status (call->message),
    .resent = call->resent,
    .headers = headers,
  };
  bool has_length = soup_message_headers_get_encoding (headers)
                    == SOUP_ENCODING_CONTENT_LENGTH;

  if (has_length
      && soup_message_headers_get_content_length (headers)
             != (goffset)call->received->len)
    {
      deliver_error (call, GR_ERROR_PROTOCOL, "the response is truncated");
      return;
    }
  response.body =
      g_byte_array_free_to_bytes (g_steal_pointer (&call->received));
  deliver (call, &response, NULL);
  g_bytes_unref (response.body);
}

/* A truncated response is a protocol error of the peer, whether it is detected
 * by libsoup, as on keep-alive connections, or by deliver_response (). */
static enum gr_error_kind
read_error_kind (const GError *failure)
{
  return g_error_matches (failure, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT)
             ? GR_ERROR_PROTOCOL
             : GR_ERROR_IO;
}

static void
read_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct http_call *call = data;
  GError *failure = NULL;
  GBytes *chunk = g_input_stream_read_bytes_finish (G_INPUT_STREAM (source),
                                                    result, &failure);
  gsize size = 0;
  const void *bytes;

  if (chunk == NULL)
    {
      deliver_error (call, read_error_kind (failure), failure->message);
      g_error_free (failure);
      end_call (call);
      return;
    }
  bytes = g_bytes_get_data (chunk, &size);
  if (size > 0)
    g_byte_array_append (call->received, bytes, (guint)size);
  g_bytes_unref (chunk);
  if (call->received->len > GR_HTTP_MAX_RESPONSE_BYTES)
    {
      deliver_error (call, GR_ERROR_PROTOCOL, "the response is too large");
      g_cancellable_cancel (call->cancellable);
    }
  if (!call->finished && size > 0)
    {
      read_more (call);
      return;
    }
  /* Must precede the callback, which may start a call to the same address. */
  release_connection (call);
  if (!call->finished)
    deliver_response (call);
  end_call (call);
}

static void
read_more (struct http_call *call)
{
  g_input_stream_read_bytes_async (call->stream, READ_BYTES, G_PRIORITY_DEFAULT,
                                   call->cancellable, read_done, call);
}

/* Returns true if the length of the response is known, or if the response is
 * chunked and needs no known length. Without a known length, the end of the
 * body cannot be distinguished from a broken connection. */
static bool
has_known_length (struct http_call *call)
{
  switch (soup_message_headers_get_encoding (
      soup_message_get_response_headers (call->message)))
    {
    case SOUP_ENCODING_CONTENT_LENGTH:
    case SOUP_ENCODING_NONE:
      return true;
    case SOUP_ENCODING_CHUNKED:
      return !call->needs_length
             || soup_message_get_status (call->message) != 200;
    default:
      return false;
    }
}

static void
send_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct http_call *call = data;
  GError *failure = NULL;

  call->stream =
      soup_session_send_finish (SOUP_SESSION (source), result, &failure);
  if (call->stream == NULL)
    {
      bool malformed = failure->domain == SOUP_SESSION_ERROR
                       && (failure->code == SOUP_SESSION_ERROR_PARSING
                           || failure->code == SOUP_SESSION_ERROR_ENCODING);

      deliver_error (call, malformed ? GR_ERROR_PROTOCOL : GR_ERROR_IO,
                     failure->message);
      g_error_free (failure);
      end_call (call);
      return;
    }
  if (!call->finished && !has_known_length (call))
    {
      deliver_error (call, GR_ERROR_PROTOCOL,
                     "the response has no known length");
      g_cancellable_cancel (call->cancellable);
    }
  if (call->finished)
    end_call (call);
  else
    read_more (call);
}

static void
call_timed_out (struct gr_deadline *deadline)
{
  struct http_call *call =
      (struct http_call *)((char *)deadline
                           - offsetof (struct http_call, deadline));

  if (call->message == NULL)
    {
      deliver (call, NULL, &call->refusal);
      end_call (call);
      return;
    }
  deliver_error (call, GR_ERROR_TIMEOUT, "no response before the timeout");
  g_cancellable_cancel (call->cancellable);
}

static void
message_starting (SoupMessage *message, gpointer data)
{
  struct http_call *call = data;

  (void)message;
  call->written = true;
}

/* libsoup should not resend a message without the idempotent flag. If it tries
 * to, the call fails here and is not sent twice. */
static void
message_restarted (SoupMessage *message, gpointer data)
{
  struct http_call *call = data;

  (void)message;
  call->resent = true;
  if (call->may_resend)
    return;
  deliver_error (call, GR_ERROR_IO, "the connection failed");
  g_cancellable_cancel (call->cancellable);
}

static bool
create_message (struct http_call *call, const struct gr_http_request *request)
{
  SoupMessageHeaders *headers;
  char time[32];

  call->message = soup_message_new (request->method, request->url);
  if (call->message == NULL)
    return gr_error_set (&call->refusal, GR_ERROR_NO_TARGET,
                         "the URL %s is not valid", request->url);
  headers = soup_message_get_request_headers (call->message);
  soup_message_add_flags (call->message, SOUP_MESSAGE_NO_REDIRECT);
  if (request->may_resend)
    soup_message_add_flags (call->message, SOUP_MESSAGE_IDEMPOTENT);
  else
    {
      soup_message_add_flags (call->message, SOUP_MESSAGE_NEW_CONNECTION);
      soup_message_headers_replace (headers, "Connection", "close");
    }
  if (request->body != NULL)
    soup_message_set_request_body_from_bytes (
        call->message, request->content_type, request->body);
  g_snprintf (time, sizeof time, "%" G_GUINT64_FORMAT, gr_hlc_now ());
  soup_message_headers_replace (headers, "Hybrid-Time", time);
  for (const char *const *pair = request->headers;
       pair != NULL && pair[0] != NULL; pair += 2)
    soup_message_headers_replace (headers, pair[0], pair[1]);
  g_signal_connect (call->message, "starting", G_CALLBACK (message_starting),
                    call);
  g_signal_connect (call->message, "restarted", G_CALLBACK (message_restarted),
                    call);
  return true;
}

static void
start_timeout (struct http_call *call, uint32_t timeout_ms)
{
  gr_deadline_set (call->http->deadlines, &call->deadline, timeout_ms,
                   call_timed_out);
}

void
gr_http_call (struct gr_http *http,
              const struct gr_http_request *request,
              void (*done) (const struct gr_http_response *response,
                            const struct gr_error *error,
                            void *context),
              void *context)
{
  struct http_call *call = g_new0 (struct http_call, 1);

  call->http = http;
  call->cancellable = g_cancellable_new ();
  call->received = g_byte_array_new ();
  call->may_resend = request->may_resend;
  call->needs_length = request->needs_length;
  call->done = done;
  call->context = context;
  g_hash_table_add (http->calls, call);
  if (request->refusal != NULL)
    call->refusal = *request->refusal;
  if (request->refusal != NULL || !create_message (call, request))
    {
      start_timeout (call, 0);
      return;
    }
  call->limit_key = g_strdup (request->limit_key);
  add_open_calls (http, call->limit_key, 1);
  start_timeout (call, request->timeout_ms);
  soup_session_send_async (http->session, call->message, G_PRIORITY_DEFAULT,
                           call->cancellable, send_done, call);
}

uint32_t
gr_http_open_calls (const struct gr_http *http, const char *limit_key)
{
  return (uint32_t)GPOINTER_TO_INT (
      g_hash_table_lookup (http->open_calls, limit_key));
}

static struct gr_http *
create_client (uint32_t connections,
               struct gr_deadlines *deadlines,
               guint idle_timeout_s)
{
  struct gr_http *http = g_new0 (struct gr_http, 1);

  http->deadlines = deadlines;
  http->session = soup_session_new_with_options (
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", (int)connections,
      "idle-timeout", idle_timeout_s, "timeout", 0, "proxy-resolver", NULL,
      NULL);
  /* Without a content decoder, bodies are delivered unchanged. */
  soup_session_remove_feature_by_type (http->session,
                                       SOUP_TYPE_CONTENT_DECODER);
  http->calls = g_hash_table_new (NULL, NULL);
  http->open_calls =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return http;
}

struct gr_http *
gr_http_create (uint32_t connections)
{
  struct gr_deadlines *deadlines = gr_deadlines_create ();
  struct gr_http *http = create_client (connections, deadlines, IDLE_TIMEOUT_S);

  http->own_deadlines = deadlines;
  return http;
}

struct gr_http *
gr_http_create_shared (uint32_t connections, struct gr_deadlines *deadlines)
{
  /* No idle timeout, because libsoup creates a main loop source for each idle
   * connection that has one. */
  return create_client (connections, deadlines, 0);
}

void
gr_http_destroy (struct gr_http *http)
{
  struct gr_error error = GR_ERROR_INIT;
  GHashTableIter iter;
  void *key;

  if (http == NULL)
    return;
  gr_error_set (&error, GR_ERROR_CANCELLED, "the HTTP client was destroyed");
  g_hash_table_iter_init (&iter, http->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct http_call *call = key;

      g_hash_table_iter_steal (&iter);
      gr_deadline_clear (&call->deadline);
      call->http = NULL;
      deliver (call, NULL, &error);
      if (call->message == NULL)
        call_free (call);
      else
        g_cancellable_cancel (call->cancellable);
    }
  soup_session_abort (http->session);
  g_object_unref (http->session);
  g_hash_table_destroy (http->calls);
  g_hash_table_destroy (http->open_calls);
  gr_deadlines_destroy (http->own_deadlines);
  g_free (http);
}
