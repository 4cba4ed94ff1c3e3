/* Framing of RPC messages: a 4-byte big-endian length, then a msgpack array
 * [type, id, method, hlc, body]. hlc is the sender's hybrid logical time. */
#pragma once

#include "common/error.h"
#include "rpc/pack.h"

#include <gio/gio.h>

#define GR_FRAME_MAX_BYTES (1024 * 1024)

enum gr_frame_type
{
  GR_FRAME_CALL,
  GR_FRAME_REPLY,
  GR_FRAME_ERROR,
};

struct gr_frame
{
  enum gr_frame_type type;
  uint64_t id;
  char method[64];
  const msgpack_object *body; /* map; owned by the reader */
};

struct gr_frame_reader;

struct gr_frame_reader *gr_frame_reader_create (void);
void gr_frame_reader_destroy (struct gr_frame_reader *reader);

/* Appends received bytes to the reader's buffer. */
void gr_frame_reader_feed (struct gr_frame_reader *reader,
                           const void *bytes,
                           size_t size);

/* Reads the next complete frame. Returns false and sets error to kind none if
 * more bytes are needed, or to kind protocol if the stream is invalid and the
 * connection must be closed. frame->body is valid until the next call on
 * reader. */
bool gr_frame_reader_next (struct gr_frame_reader *reader,
                           struct gr_frame *frame,
                           struct gr_error *error);

/* Builds a frame, including its length. body may be NULL for an empty map. */
GBytes *gr_frame_build (enum gr_frame_type type,
                        uint64_t id,
                        const char *method,
                        struct gr_packer *body);
