#include "http/http-stream.h"

#include <string.h>

static const char malformed_request[] = "closed\r\n\r\n";

struct _GrHttpInput
{
  GFilterInputStream parent;
  bool between_requests;
  bool in_headers;
  int64_t headers_start_ms;
};

G_DECLARE_FINAL_TYPE (
    GrHttpInput, gr_http_input, GR, HTTP_INPUT, GFilterInputStream)

static void gr_http_input_pollable_init (GPollableInputStreamInterface *iface,
                                         gpointer data);

G_DEFINE_FINAL_TYPE_WITH_CODE (
    GrHttpInput,
    gr_http_input,
    G_TYPE_FILTER_INPUT_STREAM,
    G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_INPUT_STREAM,
                           gr_http_input_pollable_init))

static GInputStream *
get_base_stream (gpointer stream)
{
  return g_filter_input_stream_get_base_stream (G_FILTER_INPUT_STREAM (stream));
}

/* Processes the result of a read. An end of stream or an error between two
 * requests is replaced by a malformed request. */
static gssize
finish_read (
    GrHttpInput *input, gssize size, void *buffer, gsize count, GError **error)
{
  gsize length = sizeof malformed_request - 1;
  bool would_block =
      size < 0 && g_error_matches (*error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);

  if (size > 0 && input->in_headers && input->headers_start_ms == 0)
    input->headers_start_ms = g_get_monotonic_time () / 1000;
  if (would_block || !input->between_requests)
    return size;
  input->between_requests = false;
  if (size > 0 || count < length)
    return size;
  g_clear_error (error);
  memcpy (buffer, malformed_request, length);
  return (gssize)length;
}

static gssize
input_read (GInputStream *stream,
            void *buffer,
            gsize count,
            GCancellable *cancellable,
            GError **error)
{
  GError *failure = NULL;
  gssize size = g_input_stream_read (get_base_stream (stream), buffer, count,
                                     cancellable, &failure);

  size = finish_read (GR_HTTP_INPUT (stream), size, buffer, count, &failure);
  if (failure != NULL)
    g_propagate_error (error, failure);
  return size;
}

static gssize
input_read_nonblocking (GPollableInputStream *stream,
                        void *buffer,
                        gsize count,
                        GError **error)
{
  GError *failure = NULL;
  gssize size = g_pollable_input_stream_read_nonblocking (
      G_POLLABLE_INPUT_STREAM (get_base_stream (stream)), buffer, count, NULL,
      &failure);

  size = finish_read (GR_HTTP_INPUT (stream), size, buffer, count, &failure);
  if (failure != NULL)
    g_propagate_error (error, failure);
  return size;
}

static gboolean
input_is_readable (GPollableInputStream *stream)
{
  return g_pollable_input_stream_is_readable (
      G_POLLABLE_INPUT_STREAM (get_base_stream (stream)));
}

static GSource *
input_create_source (GPollableInputStream *stream, GCancellable *cancellable)
{
  GSource *base = g_pollable_input_stream_create_source (
      G_POLLABLE_INPUT_STREAM (get_base_stream (stream)), cancellable);
  GSource *source = g_pollable_source_new_full (stream, base, cancellable);

  g_source_unref (base);
  return source;
}

static void
gr_http_input_pollable_init (GPollableInputStreamInterface *iface,
                             gpointer data)
{
  (void)data;
  iface->read_nonblocking = input_read_nonblocking;
  iface->is_readable = input_is_readable;
  iface->create_source = input_create_source;
}

static void
gr_http_input_class_init (GrHttpInputClass *class)
{
  G_INPUT_STREAM_CLASS (class)->read_fn = input_read;
}

static void
gr_http_input_init (GrHttpInput *input)
{
  input->between_requests = false;
  input->in_headers = true;
}

GIOStream *
gr_http_stream_create (GIOStream *base)
{
  GInputStream *input = g_object_new (gr_http_input_get_type (), "base-stream",
                                      g_io_stream_get_input_stream (base),
                                      "close-base-stream", FALSE, NULL);
  GIOStream *stream =
      g_simple_io_stream_new (input, g_io_stream_get_output_stream (base));

  g_object_unref (input);
  return stream;
}

void
gr_http_stream_set_between_requests (GIOStream *stream, bool between_requests)
{
  GrHttpInput *input = GR_HTTP_INPUT (g_io_stream_get_input_stream (stream));

  input->between_requests = between_requests;
  input->in_headers = between_requests;
  input->headers_start_ms = 0;
}

int64_t
gr_http_stream_headers_start_ms (GIOStream *stream)
{
  return GR_HTTP_INPUT (g_io_stream_get_input_stream (stream))
      ->headers_start_ms;
}

void
gr_http_stream_end_headers (GIOStream *stream)
{
  gr_http_stream_set_between_requests (stream, false);
}
