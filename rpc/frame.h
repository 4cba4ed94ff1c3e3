/* Framing: 4 byte big-endian length, then a msgpack array
 * [type, id, method, hlc, body]. */
#pragma once

#include "common/error.h"
#include "rpc/pack.h"

#include <gio/gio.h>

#define GR_FRAME_MAX_BYTES (1024 * 1024)

enum gr_frame_type
{
  GR_FRAME_CALL,
  GR_FRAME_ANSWER,
  GR_FRAME_ERROR,
};

struct gr_frame
{
  enum gr_frame_type type;
  uint64_t id;
  char method[64];
  const msgpack_object *body; /* a map; owned by the reader */
};

struct gr_frame_reader;

struct gr_frame_reader *gr_frame_reader_create (void);
void gr_frame_reader_destroy (struct gr_frame_reader *reader);

/* Adds received bytes. */
void gr_frame_reader_feed (struct gr_frame_reader *reader,
                           const void *bytes,
                           size_t size);

/* Takes the next whole frame. Returns false with kind none if more bytes are
 * needed, and with kind protocol if the stream is not valid; the connection
 * must then be closed. frame->body is valid until the next call. */
bool gr_frame_reader_next (struct gr_frame_reader *reader,
                           struct gr_frame *frame,
                           struct gr_error *error);

/* Builds a frame with its length. body may be NULL for an empty map. */
GBytes *gr_frame_build (enum gr_frame_type type,
                        uint64_t id,
                        const char *method,
                        struct gr_packer *body);
