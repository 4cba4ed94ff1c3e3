#include "scheduler/page-codec.h"

/* zlib levels are 1 (fastest) to 9. At level 1 a page of 900 KB takes a few
 * milliseconds. */
#define COMPRESSION_LEVEL 1

#define CHUNK_BYTES 65536

GBytes *
gr_page_compress (const void *data, size_t size)
{
  GZlibCompressor *compressor =
      g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, COMPRESSION_LEVEL);
  GOutputStream *memory = g_memory_output_stream_new_resizable ();
  GOutputStream *out =
      g_converter_output_stream_new (memory, G_CONVERTER (compressor));
  GBytes *bytes;

  /* Writes to a memory stream cannot fail. */
  g_output_stream_write_all (out, data, size, NULL, NULL, NULL);
  g_output_stream_close (out, NULL, NULL);
  bytes =
      g_memory_output_stream_steal_as_bytes (G_MEMORY_OUTPUT_STREAM (memory));
  g_object_unref (out);
  g_object_unref (memory);
  g_object_unref (compressor);
  return bytes;
}

/* Returns false if the stream is corrupt or longer than max_bytes. */
static gboolean
read_all (GInputStream *in, GByteArray *all, size_t max_bytes)
{
  guint8 chunk[CHUNK_BYTES];
  gssize size;

  while ((size = g_input_stream_read (in, chunk, sizeof chunk, NULL, NULL)) > 0)
    {
      g_byte_array_append (all, chunk, (guint)size);
      if (all->len > max_bytes)
        return FALSE;
    }
  return size == 0;
}

GBytes *
gr_page_uncompress (const void *data, size_t size, size_t max_bytes)
{
  GZlibDecompressor *decompressor =
      g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  GInputStream *memory =
      g_memory_input_stream_new_from_data (data, (gssize)size, NULL);
  GInputStream *in =
      g_converter_input_stream_new (memory, G_CONVERTER (decompressor));
  GByteArray *all = g_byte_array_new ();
  gboolean whole = read_all (in, all, max_bytes);

  g_object_unref (in);
  g_object_unref (memory);
  g_object_unref (decompressor);
  if (whole)
    return g_byte_array_free_to_bytes (all);
  g_byte_array_unref (all);
  return NULL;
}
