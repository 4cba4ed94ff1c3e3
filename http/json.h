/* Reading of JSON from untrusted sources. The functions gr_json_get_* () check
 * types and ranges. If the member is missing, they return true and set the
 * default value; if it is invalid, they return false. */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses text as one JSON object, to be freed with json_object_unref ().
 * Returns NULL and sets error (protocol) if it is not a JSON object or is
 * nested too deeply. */
JsonObject *gr_json_parse (GBytes *text, struct gr_error *error);

/* Serializes object and releases the caller's reference to it. */
GBytes *gr_json_to_bytes (JsonObject *object);

/* Reads an integer from min to max. It may also be a decimal string, which is
 * the JSON form of 64-bit values in protocol buffers. */
bool gr_json_get_int (JsonObject *object,
                      const char *name,
                      int64_t min,
                      int64_t max,
                      int64_t fallback,
                      int64_t *value);
bool gr_json_get_bool (JsonObject *object,
                       const char *name,
                       bool fallback,
                       bool *value);

/* Copies a string, which must fit into size bytes with its NUL; "" if
 * missing. */
bool gr_json_get_string (JsonObject *object,
                         const char *name,
                         char *value,
                         size_t size);

/* Returns the string, owned by object, or NULL if it is missing or not a
 * string. */
const char *gr_json_peek_string (JsonObject *object, const char *name);

/* Set *value to the array or object, owned by the parent object, or to NULL if
 * it is missing. Return false if it is of another type. */
bool
gr_json_get_array (JsonObject *object, const char *name, JsonArray **value);
bool
gr_json_get_object (JsonObject *object, const char *name, JsonObject **value);

/* Returns the element, owned by array, or NULL if it is not an object. */
JsonObject *gr_json_array_object (JsonArray *array, guint index);

/* Returns the decoded text with a terminating NUL, to be freed with g_free (),
 * or NULL if text is not base64. *size does not include the NUL. */
char *gr_json_decode_base64 (const char *text, size_t *size);
