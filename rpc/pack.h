/* Encoding and decoding of RPC bodies with msgpack-c. A body is a msgpack map
 * with string keys. */
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_packer;

/* Creates a packer that builds one map. The functions gr_pack_* () add entries.
 * Owned by the caller. */
struct gr_packer *gr_packer_create (void);
void gr_packer_destroy (struct gr_packer *packer);

/* Adds a string; adds nothing if text is NULL. */
void
gr_pack_string (struct gr_packer *packer, const char *key, const char *text);
void gr_pack_int (struct gr_packer *packer, const char *key, int64_t value);
void gr_pack_double (struct gr_packer *packer, const char *key, double value);
void gr_pack_bool (struct gr_packer *packer, const char *key, bool value);
void gr_pack_bytes (struct gr_packer *packer,
                    const char *key,
                    const void *bytes,
                    size_t size);

/* Add an array of maps: gr_pack_array_begin (), then gr_pack_array_add () for
 * each element, which frees the element's packer, then gr_pack_array_end (). A
 * packer can build only one array at a time. */
void gr_pack_array_begin (struct gr_packer *packer, const char *key);
void gr_pack_array_add (struct gr_packer *packer, struct gr_packer *element);
void gr_pack_array_end (struct gr_packer *packer);

/* Returns the encoded map and sets *size to its bytes. Valid until the packer
 * is changed or destroyed, or this function is called again. */
const void *gr_packer_data (struct gr_packer *packer, size_t *size);

/* Read an entry of a map. If the key is missing or has another type, they
 * return fallback, or NULL for a string. Strings are copied and must be freed
 * with g_free (). */
char *gr_unpack_string (const msgpack_object *map, const char *key);
int64_t
gr_unpack_int (const msgpack_object *map, const char *key, int64_t fallback);
double
gr_unpack_double (const msgpack_object *map, const char *key, double fallback);
bool gr_unpack_bool (const msgpack_object *map, const char *key, bool fallback);

/* Returns the bytes, owned by the message, and sets *size. Returns NULL and a
 * size of 0 if the key is missing or has another type. */
const char *
gr_unpack_bytes (const msgpack_object *map, const char *key, size_t *size);

/* Returns the elements of an array of maps, owned by the message, and sets
 * *count. Returns NULL and a count of 0 if the key is missing or has another
 * type. */
const msgpack_object *
gr_unpack_array (const msgpack_object *map, const char *key, size_t *count);
