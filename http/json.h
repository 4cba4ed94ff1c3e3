/* Checked reading of JSON from outside. Every reader tests types and ranges;
 * a missing member is its default, a wrong one makes the result false. */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The object that the text consists of; NULL and error (protocol) if it is not
 * a JSON object or is nested too deeply. To be freed with
 * json_object_unref (). */
JsonObject *gr_json_parse (GBytes *text, struct gr_error *error);

/* Object as text; object is consumed. */
GBytes *gr_json_to_bytes (JsonObject *object);

/* Integers may also be decimal strings, as the JSON form of protocol buffers
 * writes 64-bit values. */
bool gr_json_get_int (JsonObject *object,
                      const char *name,
                      int64_t min,
                      int64_t max,
                      int64_t missing,
                      int64_t *value);
bool gr_json_get_bool (JsonObject *object,
                       const char *name,
                       bool missing,
                       bool *value);

/* Copies a string that fits into size bytes with its NUL; "" if missing. */
bool gr_json_get_string (JsonObject *object,
                         const char *name,
                         char *value,
                         size_t size);

/* The string of the member, owned by object; NULL if missing or not a
 * string. */
const char *gr_json_peek_string (JsonObject *object, const char *name);

/* NULL if missing; false if it is there and not of that type. */
bool
gr_json_get_array (JsonObject *object, const char *name, JsonArray **value);
bool
gr_json_get_object (JsonObject *object, const char *name, JsonObject **value);

/* Element as an object, or NULL. */
JsonObject *gr_json_array_object (JsonArray *array, guint index);

/* Decoded text with a NUL after it, to be freed with g_free (); NULL if it is
 * not base64. size does not count the NUL. */
char *gr_json_decode_base64 (const char *text, size_t *size);
