/* Bodies of RPC messages: maps with string keys, over msgpack-c. */
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_packer;

/* A packer whose content is one map. Values are added with the functions
 * below; the number of entries is counted. Owned by the caller. */
struct gr_packer *gr_packer_create (void);
void gr_packer_destroy (struct gr_packer *packer);

/* text may be NULL; the entry is then left out. */
void
gr_pack_string (struct gr_packer *packer, const char *key, const char *text);
void gr_pack_int (struct gr_packer *packer, const char *key, int64_t value);
void gr_pack_double (struct gr_packer *packer, const char *key, double value);
void gr_pack_bool (struct gr_packer *packer, const char *key, bool value);
void gr_pack_bytes (struct gr_packer *packer,
                    const char *key,
                    const void *bytes,
                    size_t size);

/* An array of maps: begin, then for each element gr_pack_array_add () with a
 * packer that is consumed, then end. Arrays are not nested in one packer. */
void gr_pack_array_begin (struct gr_packer *packer, const char *key);
void gr_pack_array_add (struct gr_packer *packer, struct gr_packer *element);
void gr_pack_array_end (struct gr_packer *packer);

/* The whole map; valid until the packer is changed or destroyed. */
const void *gr_packer_data (struct gr_packer *packer, size_t *size);

/* Readers of a map. A missing key or another type gives the fallback.
 * Strings are copied; free with g_free (). */
char *gr_unpack_string (const msgpack_object *map, const char *key);
int64_t
gr_unpack_int (const msgpack_object *map, const char *key, int64_t fallback);
double
gr_unpack_double (const msgpack_object *map, const char *key, double fallback);
bool gr_unpack_bool (const msgpack_object *map, const char *key, bool fallback);

/* Bytes stay owned by the message. NULL if missing. */
const char *
gr_unpack_bytes (const msgpack_object *map, const char *key, size_t *size);

/* Array by key; *count is 0 if missing. Elements are maps. */
const msgpack_object *
gr_unpack_array (const msgpack_object *map, const char *key, size_t *count);
