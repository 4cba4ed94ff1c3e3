#include "ctl/context.h"

#include <stdarg.h>
#include <string.h>

struct call
{
  GMainLoop *loop;
  GCancellable *cancellable;
  GBytes *bytes;
  GError *error;
  bool timed_out;
};

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;

  call->bytes = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                   result, &call->error);
  g_main_loop_quit (call->loop);
}

static gboolean
on_timeout (gpointer data)
{
  struct call *call = data;

  call->timed_out = true;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_CONTINUE;
}

/* Sends a message and runs the main loop until the call ends: with a response,
 * an error or a timeout. */
static void
send_message (struct gr_ctl *ctl, SoupMessage *message, struct call *call)
{
  guint timer;

  call->loop = g_main_loop_new (NULL, FALSE);
  call->cancellable = g_cancellable_new ();
  timer = g_timeout_add ((guint)(ctl->call_timeout_s * 1000), on_timeout, call);
  soup_session_send_and_read_async (ctl->session, message, G_PRIORITY_DEFAULT,
                                    call->cancellable, on_response, call);
  g_main_loop_run (call->loop);
  g_source_remove (timer);
  g_main_loop_unref (call->loop);
  g_object_unref (call->cancellable);
}

static SoupMessage *
make_message (struct gr_ctl *ctl,
              const char *method,
              const char *url,
              const char *content_type,
              const char *body,
              int64_t if_match)
{
  SoupMessage *message = soup_message_new (method, url);
  SoupMessageHeaders *headers;

  if (message == NULL)
    return NULL;
  headers = soup_message_get_request_headers (message);
  /* libsoup may send a request twice if it reuses a connection, so every call
   * opens a new one. */
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION
                                       | SOUP_MESSAGE_NO_REDIRECT);
  if (ctl->token != NULL)
    {
      char *value = g_strconcat ("Bearer ", ctl->token, NULL);

      soup_message_headers_append (headers, "Authorization", value);
      g_free (value);
    }
  if (if_match >= 0)
    {
      char *value = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", if_match);

      soup_message_headers_append (headers, "If-Match", value);
      g_free (value);
    }
  if (body != NULL)
    {
      GBytes *bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (message, content_type, bytes);
      g_bytes_unref (bytes);
    }
  return message;
}

static bool
is_connect_error (const GError *error)
{
  return g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE)
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

static void
fill_response (struct gr_ctl_response *response,
               SoupMessage *message,
               GBytes *bytes)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  const char *etag = soup_message_headers_get_one (headers, "ETag");
  const char *data;

  response->status = (int)soup_message_get_status (message);
  data = g_bytes_get_data (bytes, &response->length);
  response->body = g_strndup (data == NULL ? "" : data, response->length);
  if (etag != NULL && etag[0] == '"')
    response->etag = g_ascii_strtoll (etag + 1, NULL, 10);
  response->json = json_from_string (response->body, NULL);
}

/* Error kind of a response without a problem document. It does not come from an
 * entry but from an intermediary such as a proxy, and does not show whether the
 * call had an effect. */
static enum gr_error_kind
kind_of_status (int status)
{
  switch (status)
    {
    case 401:
      return GR_ERROR_UNAUTHENTICATED;
    case 403:
      return GR_ERROR_FORBIDDEN;
    case 404:
      return GR_ERROR_NOT_FOUND;
    case 504:
      return GR_ERROR_TIMEOUT;
    default:
      return GR_ERROR_PROTOCOL;
    }
}

static bool
set_response_error (const struct gr_ctl_response *response,
                    struct gr_error *error)
{
  enum gr_error_kind kind;
  JsonObject *problem;

  if (response->json == NULL || !JSON_NODE_HOLDS_OBJECT (response->json)
      || !json_object_has_member (json_node_get_object (response->json),
                                  "kind"))
    return gr_error_set (error, kind_of_status (response->status),
                         "%s responded with status %d and no problem document",
                         response->entry, response->status);
  problem = json_node_get_object (response->json);
  kind = gr_error_kind_from_name (gr_ctl_string (problem, "kind", "internal"));
  /* "none" is in the table of kinds but is not the kind of any error. */
  if (kind == GR_ERROR_NONE)
    kind = GR_ERROR_PROTOCOL;
  return gr_error_set_retry (error, kind,
                             gr_ctl_int (problem, "retry_after_ms", 0), "%s",
                             gr_ctl_string (problem, "detail", ""));
}

/* Calls one entry. Sets *connect_failed if no connection was established. Only
 * then is it safe to try another entry, because this one has not received the
 * request. */
static bool
call_entry (struct gr_ctl *ctl,
            const char *url,
            SoupMessage *message,
            struct gr_ctl_response *response,
            bool *connect_failed,
            struct gr_error *error)
{
  struct call call = { 0 };

  send_message (ctl, message, &call);
  *connect_failed = call.error != NULL && is_connect_error (call.error);
  if (call.error != NULL)
    {
      if (*connect_failed)
        gr_error_set (error, GR_ERROR_NO_TARGET, "%s: %s", url,
                      call.error->message);
      else if (call.timed_out)
        gr_error_set (error, GR_ERROR_TIMEOUT, "%s: no response within %g s",
                      url, ctl->timeout_s);
      else
        gr_error_set (error, GR_ERROR_IO, "%s: %s", url, call.error->message);
      g_error_free (call.error);
      return false;
    }
  fill_response (response, message, call.bytes);
  g_bytes_unref (call.bytes);
  if (response->status >= 400)
    return set_response_error (response, error);
  if (response->status < 200 || response->status >= 300)
    return gr_error_set (error, GR_ERROR_PROTOCOL,
                         "%s responded with status %d", url, response->status);
  return true;
}

bool
gr_ctl_call (struct gr_ctl *ctl,
             const char *method,
             const char *path,
             const char *content_type,
             const char *body,
             int64_t if_match,
             struct gr_ctl_response *response,
             struct gr_error *error)
{
  bool connect_failed = true;
  bool done = false;

  memset (response, 0, sizeof *response);
  for (guint i = 0; ctl->entries[i] != NULL && connect_failed; i++)
    {
      char *url = g_strconcat (ctl->entries[i], path, NULL);
      SoupMessage *message =
          make_message (ctl, method, url, content_type, body, if_match);

      if (message == NULL)
        {
          gr_error_set (error, GR_ERROR_BAD_REQUEST, "'%s' is not a URL", url);
          g_free (url);
          return false;
        }
      g_free (response->entry);
      response->entry = g_strdup (ctl->entries[i]);
      done = call_entry (ctl, ctl->entries[i], message, response,
                         &connect_failed, error);
      g_object_unref (message);
      g_free (url);
    }
  return done;
}

void
gr_ctl_response_clear (struct gr_ctl_response *response)
{
  g_free (response->body);
  g_free (response->entry);
  if (response->json != NULL)
    json_node_unref (response->json);
  memset (response, 0, sizeof *response);
}

char *
gr_ctl_path (const char *base, const char *name)
{
  char *escaped = g_uri_escape_string (name, "/", FALSE);
  char *path = g_strconcat (base, escaped, NULL);

  g_free (escaped);
  return path;
}

int
gr_ctl_report_error (struct gr_ctl *ctl,
                     const struct gr_error *error,
                     const struct gr_ctl_response *response)
{
  const struct gr_error_info *info = gr_error_info (error->kind);

  if (ctl->json && response != NULL && response->json != NULL)
    {
      char *text = json_to_string (response->json, FALSE);

      fprintf (ctl->err, "%s\n", text);
      g_free (text);
      return info->exit_code;
    }
  fprintf (ctl->err, "geraniumrackctl: %s: %s", info->name,
           error->message[0] == '\0' ? info->title : error->message);
  /* "never" could be read as advice not to repeat even a corrected call. */
  if (info->run_state != GR_RUN_NEVER)
    fprintf (ctl->err, " (%s)", gr_run_state_name (info->run_state));
  fputc ('\n', ctl->err);
  if (error->retry_after_ms > 0)
    fprintf (ctl->err, "retry after %" G_GINT64_FORMAT " ms\n",
             error->retry_after_ms);
  return info->exit_code;
}

int
gr_ctl_usage_error (struct gr_ctl *ctl, const char *format, ...)
{
  va_list args;

  fputs ("geraniumrackctl: ", ctl->err);
  va_start (args, format);
  vfprintf (ctl->err, format, args);
  va_end (args);
  fputs ("\n", ctl->err);
  return gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
}

double
gr_ctl_limit_call_timeout (struct gr_ctl *ctl, int64_t start_us)
{
  int64_t elapsed_us = g_get_monotonic_time () - start_us;
  double remaining_s;

  ctl->call_timeout_s = GR_CTL_CALL_TIMEOUT_S;
  if (!ctl->has_timeout)
    return G_MAXDOUBLE;
  remaining_s = ctl->timeout_s - (double)elapsed_us / G_USEC_PER_SEC;
  ctl->call_timeout_s = CLAMP (remaining_s, 0.01, GR_CTL_CALL_TIMEOUT_S);
  return remaining_s;
}

static gboolean
on_sleep_end (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

void
gr_ctl_sleep (int64_t time_ms)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  g_timeout_add ((guint)time_ms, on_sleep_end, loop);
  g_main_loop_run (loop);
  g_main_loop_unref (loop);
}
