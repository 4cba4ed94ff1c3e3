#include "rpc/pack.h"

#include <glib.h>
#include <string.h>

struct gr_packer
{
  msgpack_sbuffer entries;
  msgpack_sbuffer map;
  msgpack_packer entry_packer;
  uint32_t count;
  msgpack_sbuffer elements;
  uint32_t element_count;
};

struct gr_packer *
gr_packer_create (void)
{
  struct gr_packer *packer = g_new0 (struct gr_packer, 1);

  msgpack_sbuffer_init (&packer->entries);
  msgpack_sbuffer_init (&packer->map);
  msgpack_sbuffer_init (&packer->elements);
  msgpack_packer_init (&packer->entry_packer, &packer->entries,
                       msgpack_sbuffer_write);
  return packer;
}

void
gr_packer_destroy (struct gr_packer *packer)
{
  if (packer == NULL)
    return;
  msgpack_sbuffer_destroy (&packer->entries);
  msgpack_sbuffer_destroy (&packer->map);
  msgpack_sbuffer_destroy (&packer->elements);
  g_free (packer);
}

static void
pack_key (struct gr_packer *packer, const char *key)
{
  msgpack_pack_str_with_body (&packer->entry_packer, key, strlen (key));
  packer->count++;
}

void
gr_pack_string (struct gr_packer *packer, const char *key, const char *text)
{
  if (text == NULL)
    return;
  pack_key (packer, key);
  msgpack_pack_str_with_body (&packer->entry_packer, text, strlen (text));
}

void
gr_pack_int (struct gr_packer *packer, const char *key, int64_t value)
{
  pack_key (packer, key);
  msgpack_pack_int64 (&packer->entry_packer, value);
}

void
gr_pack_double (struct gr_packer *packer, const char *key, double value)
{
  pack_key (packer, key);
  msgpack_pack_double (&packer->entry_packer, value);
}

void
gr_pack_bool (struct gr_packer *packer, const char *key, bool value)
{
  pack_key (packer, key);
  if (value)
    msgpack_pack_true (&packer->entry_packer);
  else
    msgpack_pack_false (&packer->entry_packer);
}

void
gr_pack_bytes (struct gr_packer *packer,
               const char *key,
               const void *bytes,
               size_t size)
{
  pack_key (packer, key);
  msgpack_pack_bin_with_body (&packer->entry_packer, bytes, size);
}

void
gr_pack_array_begin (struct gr_packer *packer, const char *key)
{
  pack_key (packer, key);
  msgpack_sbuffer_clear (&packer->elements);
  packer->element_count = 0;
}

void
gr_pack_array_add (struct gr_packer *packer, struct gr_packer *element)
{
  size_t size;
  const void *data = gr_packer_data (element, &size);

  msgpack_sbuffer_write (&packer->elements, data, size);
  packer->element_count++;
  gr_packer_destroy (element);
}

void
gr_pack_array_end (struct gr_packer *packer)
{
  msgpack_pack_array (&packer->entry_packer, packer->element_count);
  msgpack_sbuffer_write (&packer->entries, packer->elements.data,
                         packer->elements.size);
}

const void *
gr_packer_data (struct gr_packer *packer, size_t *size)
{
  msgpack_packer map_packer;

  msgpack_sbuffer_clear (&packer->map);
  msgpack_packer_init (&map_packer, &packer->map, msgpack_sbuffer_write);
  msgpack_pack_map (&map_packer, packer->count);
  if (packer->entries.size > 0)
    msgpack_sbuffer_write (&packer->map, packer->entries.data,
                           packer->entries.size);
  *size = packer->map.size;
  return packer->map.data;
}

static const msgpack_object *
find_value (const msgpack_object *map, const char *key)
{
  size_t length = strlen (key);

  if (map == NULL || map->type != MSGPACK_OBJECT_MAP)
    return NULL;
  for (uint32_t i = 0; i < map->via.map.size; i++)
    {
      const msgpack_object_kv *entry = &map->via.map.ptr[i];

      if (entry->key.type == MSGPACK_OBJECT_STR
          && entry->key.via.str.size == length
          && memcmp (entry->key.via.str.ptr, key, length) == 0)
        return &entry->val;
    }
  return NULL;
}

char *
gr_unpack_string (const msgpack_object *map, const char *key)
{
  const msgpack_object *value = find_value (map, key);

  if (value == NULL || value->type != MSGPACK_OBJECT_STR)
    return NULL;
  return g_strndup (value->via.str.ptr, value->via.str.size);
}

int64_t
gr_unpack_int (const msgpack_object *map, const char *key, int64_t fallback)
{
  const msgpack_object *value = find_value (map, key);

  if (value == NULL)
    return fallback;
  if (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return value->via.i64;
  if (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && value->via.u64 <= INT64_MAX)
    return (int64_t)value->via.u64;
  return fallback;
}

double
gr_unpack_double (const msgpack_object *map, const char *key, double fallback)
{
  const msgpack_object *value = find_value (map, key);

  if (value != NULL
      && (value->type == MSGPACK_OBJECT_FLOAT64
          || value->type == MSGPACK_OBJECT_FLOAT32))
    return value->via.f64;
  return (double)gr_unpack_int (map, key, (int64_t)fallback);
}

bool
gr_unpack_bool (const msgpack_object *map, const char *key, bool fallback)
{
  const msgpack_object *value = find_value (map, key);

  if (value == NULL || value->type != MSGPACK_OBJECT_BOOLEAN)
    return fallback;
  return value->via.boolean;
}

const char *
gr_unpack_bytes (const msgpack_object *map, const char *key, size_t *size)
{
  const msgpack_object *value = find_value (map, key);

  *size = 0;
  if (value == NULL || value->type != MSGPACK_OBJECT_BIN)
    return NULL;
  *size = value->via.bin.size;
  return value->via.bin.ptr;
}

const msgpack_object *
gr_unpack_array (const msgpack_object *map, const char *key, size_t *count)
{
  const msgpack_object *value = find_value (map, key);

  *count = 0;
  if (value == NULL || value->type != MSGPACK_OBJECT_ARRAY)
    return NULL;
  *count = value->via.array.size;
  return value->via.array.ptr;
}
