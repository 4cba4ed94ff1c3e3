/* Stream between a socket and libsoup's server. Internal to http/. */
#pragma once

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

/* Creates a stream that reads from and writes to base. Closing it does not
 * close base. libsoup 3.2.3 ignores the end of a stream while a keep-alive
 * connection waits for its next request, and never frees the connection. This
 * stream returns a malformed request in place of the end, on which libsoup
 * closes the connection. */
GIOStream *gr_http_stream_create (GIOStream *base);

/* Sets whether the stream is between two requests; the next read clears this.
 * Also resets the start time of the headers. */
void gr_http_stream_set_between_requests (GIOStream *stream,
                                          bool between_requests);

/* Returns when the first byte of the current request was read, in milliseconds
 * of g_get_monotonic_time (). Returns 0 if no byte was read or the headers are
 * complete. */
int64_t gr_http_stream_headers_start_ms (GIOStream *stream);
/* Must be called when the headers of the current request are complete. */
void gr_http_stream_end_headers (GIOStream *stream);
