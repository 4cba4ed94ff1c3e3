/* Stream between a socket and libsoup's server. Internal to platform/. */
#pragma once

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

/* libsoup 3.2.3 ignores the end of a stream that comes while a kept connection
 * waits for its next request: the connection is never freed. This stream turns
 * such an end into a malformed request, to which libsoup reacts by closing.
 * The result reads and writes base; closing it does not close base. */
GIOStream *gr_http_stream_create (GIOStream *base);

/* Says whether the stream is between two requests. Reading ends this state. */
void gr_http_stream_set_between (GIOStream *stream, bool between);

/* When the first byte of the next request was read, in milliseconds of
 * g_get_monotonic_time (); 0 if none was, or its headers have ended. */
int64_t gr_http_stream_headers_since_ms (GIOStream *stream);
/* The headers of the request that is read have ended. */
void gr_http_stream_end_headers (GIOStream *stream);
