#include "rpc/frame.h"

#include "common/log.h"

#include <string.h>

#define HEADER_BYTES 4
#define FRAME_FIELDS 5

struct gr_frame_reader
{
  GByteArray *pending;
  gsize consumed;
  msgpack_unpacked unpacked;
};

struct gr_frame_reader *
gr_frame_reader_create (void)
{
  struct gr_frame_reader *reader = g_new0 (struct gr_frame_reader, 1);

  reader->pending = g_byte_array_new ();
  msgpack_unpacked_init (&reader->unpacked);
  return reader;
}

void
gr_frame_reader_destroy (struct gr_frame_reader *reader)
{
  if (reader == NULL)
    return;
  g_byte_array_unref (reader->pending);
  msgpack_unpacked_destroy (&reader->unpacked);
  g_free (reader);
}

void
gr_frame_reader_feed (struct gr_frame_reader *reader,
                      const void *bytes,
                      size_t size)
{
  if (reader->consumed > 0)
    {
      g_byte_array_remove_range (reader->pending, 0, (guint)reader->consumed);
      reader->consumed = 0;
    }
  g_byte_array_append (reader->pending, bytes, (guint)size);
}

static bool
parse_frame (const msgpack_object *root,
             struct gr_frame *frame,
             struct gr_error *error)
{
  const msgpack_object *fields = root->via.array.ptr;

  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size != FRAME_FIELDS)
    return gr_error_set (
        error, GR_ERROR_PROTOCOL,
        "frame is not an array with the right number of fields");
  if (fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[0].via.u64 > GR_FRAME_ERROR
      || fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[2].type != MSGPACK_OBJECT_STR
      || fields[2].via.str.size >= sizeof frame->method
      || fields[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[4].type != MSGPACK_OBJECT_MAP)
    return gr_error_set (error, GR_ERROR_PROTOCOL,
                         "frame has a field with a wrong type or value");
  frame->type = (enum gr_frame_type)fields[0].via.u64;
  frame->id = fields[1].via.u64;
  memcpy (frame->method, fields[2].via.str.ptr, fields[2].via.str.size);
  frame->method[fields[2].via.str.size] = '\0';
  gr_hlc_observe (fields[3].via.u64);
  frame->body = &fields[4];
  return true;
}

bool
gr_frame_reader_next (struct gr_frame_reader *reader,
                      struct gr_frame *frame,
                      struct gr_error *error)
{
  const guint8 *data = reader->pending->data + reader->consumed;
  gsize available = reader->pending->len - reader->consumed;
  guint32 length;
  size_t offset = 0;
  msgpack_unpack_return result;

  *error = (struct gr_error)GR_ERROR_INIT;
  if (available < HEADER_BYTES)
    return false;
  memcpy (&length, data, HEADER_BYTES);
  length = GUINT32_FROM_BE (length);
  if (length > GR_FRAME_MAX_BYTES)
    return gr_error_set (error, GR_ERROR_PROTOCOL,
                         "frame of %u bytes is above the limit of %d", length,
                         GR_FRAME_MAX_BYTES);
  if (available < HEADER_BYTES + length)
    return false;
  result = msgpack_unpack_next (
      &reader->unpacked, (const char *)data + HEADER_BYTES, length, &offset);
  if (result != MSGPACK_UNPACK_SUCCESS || offset != length)
    return gr_error_set (error, GR_ERROR_PROTOCOL,
                         "frame is not valid msgpack");
  reader->consumed += HEADER_BYTES + length;
  return parse_frame (&reader->unpacked.data, frame, error);
}

GBytes *
gr_frame_build (enum gr_frame_type type,
                uint64_t id,
                const char *method,
                struct gr_packer *body)
{
  static const guint8 empty_map = 0x80;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  guint32 length = 0;
  size_t body_size = 1;
  const void *body_data = &empty_map;
  GBytes *bytes;

  if (body != NULL)
    body_data = gr_packer_data (body, &body_size);
  msgpack_sbuffer_init (&buffer);
  msgpack_sbuffer_write (&buffer, (const char *)&length, HEADER_BYTES);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, FRAME_FIELDS);
  msgpack_pack_uint8 (&packer, type);
  msgpack_pack_uint64 (&packer, id);
  msgpack_pack_str_with_body (&packer, method, strlen (method));
  msgpack_pack_uint64 (&packer, gr_hlc_now ());
  msgpack_sbuffer_write (&buffer, body_data, body_size);
  length = GUINT32_TO_BE ((guint32)(buffer.size - HEADER_BYTES));
  memcpy (buffer.data, &length, HEADER_BYTES);
  bytes = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}
