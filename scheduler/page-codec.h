/* Pages as they stand in the store: zlib over msgpack. Records repeat the same
 * keys and long ids, so a page shrinks to a fraction. */
#pragma once

#include <gio/gio.h>

GBytes *gr_page_compress (const void *data, size_t size);

/* NULL if data is not what gr_page_compress () made, or is larger than
 * max_bytes when unpacked. */
GBytes *gr_page_uncompress (const void *data, size_t size, size_t max_bytes);
