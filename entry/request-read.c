#include "entry/request-data.h"

#include <string.h>

static bool
is_word (const char *text, size_t max)
{
  size_t size = strlen (text);

  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-_:.", *c) == NULL)
      return false;
  return size >= 1 && size < max;
}

static bool
read_word (struct gr_exchange *exchange,
           const char *header,
           const char *fallback,
           char *to,
           size_t size,
           struct gr_error *error)
{
  const char *text = soup_message_headers_get_one (
      soup_server_message_get_request_headers (exchange->message), header);

  if (text == NULL)
    text = fallback;
  if (text == NULL)
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "the header %s is missing", header);
  if (!is_word (text, size))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "%s must be 1 to %zu letters, digits, '-', '_', ':' "
                         "or '.'",
                         header, size - 1);
  g_strlcpy (to, text, size);
  return true;
}

static bool
read_deadline (struct gr_request *request, struct gr_error *error)
{
  const char *text =
      gr_exchange_header (request->exchange, "Geraniumrack-Deadline-Ms");
  guint64 value = request->entry->platform.default_deadline_ms;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 1, GR_REQUEST_MAX_DEADLINE_MS,
                                      &value, NULL))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "Geraniumrack-Deadline-Ms must be a number from 1 to "
                         "%" G_GINT64_FORMAT,
                         (gint64)GR_REQUEST_MAX_DEADLINE_MS);
  request->deadline_ms = request->received_ms + (int64_t)value;
  return true;
}

bool
gr_request_read (struct gr_request *request, struct gr_error *error)
{
  struct gr_exchange *exchange = request->exchange;
  char idempotent[8];

  if (!read_word (exchange, "Geraniumrack-Account", NULL, request->account,
                  sizeof request->account, error)
      || !read_word (exchange, "Idempotency-Key", NULL, request->key,
                     sizeof request->key, error)
      || !read_word (exchange, "Geraniumrack-Kind", "default", request->kind,
                     sizeof request->kind, error)
      || !read_word (exchange, "Geraniumrack-Idempotent", "true", idempotent,
                     sizeof idempotent, error)
      || !read_deadline (request, error))
    return false;
  request->idempotent = strcmp (idempotent, "true") == 0;
  if (!request->idempotent && strcmp (idempotent, "false") != 0)
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "Geraniumrack-Idempotent must be true or false");
  if (g_bytes_get_size (exchange->body)
      > request->entry->platform.max_body_bytes)
    return gr_error_set (error, GR_ERROR_TOO_LARGE,
                         "the body is longer than %u bytes",
                         request->entry->platform.max_body_bytes);
  return true;
}
