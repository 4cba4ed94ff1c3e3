/* Stream between a socket and libsoup's server. Internal to platform/. */
#pragma once

#include <gio/gio.h>
#include <stdbool.h>

/* libsoup 3.2.3 ignores the end of a stream that comes while a kept connection
 * waits for its next request: the connection is never freed. This stream turns
 * such an end into a malformed request, to which libsoup reacts by closing.
 * The result reads and writes base; closing it does not close base. */
GIOStream *gr_http_stream_create (GIOStream *base);

/* Says whether the stream is between two requests. Reading ends this state. */
void gr_http_stream_set_between (GIOStream *stream, bool between);
