/* Encoding of pages in the store: msgpack, compressed with zlib. Records
 * repeat the same keys and long ids, so pages compress to a fraction of their
 * size. */
#pragma once

#include <gio/gio.h>

GBytes *gr_page_compress (const void *data, size_t size);

/* Returns NULL if data was not written by gr_page_compress (), or is larger
 * than max_bytes when uncompressed. */
GBytes *gr_page_uncompress (const void *data, size_t size, size_t max_bytes);
