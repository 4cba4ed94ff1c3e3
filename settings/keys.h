/* Table of all settings keys, and parsing of INI documents. Internal to
 * settings/. */
#pragma once

#include "settings/document.h"

#include <stddef.h>

enum gr_key_type
{
  GR_KEY_NAME,             /* 1 to 40 of a-z, 0-9 and '-' */
  GR_KEY_NAMES,            /* names separated by ';' */
  GR_KEY_UINT,             /* whole number from min to max */
  GR_KEY_NUMBER,           /* decimal number from min to max */
  GR_KEY_CHOICE,           /* one of the words in choices */
  GR_KEY_SHA256,           /* 64 hexadecimal digits, or empty */
  GR_KEY_ADDRESS,          /* IP:PORT */
  GR_KEY_OPTIONAL_ADDRESS, /* IP:PORT, or empty */
  GR_KEY_URL,              /* http://IP:PORT */
  GR_KEY_FILE,             /* absolute path of a file, or empty */
};

struct gr_key
{
  enum gr_document_kind kind;
  enum gr_key_type type;
  const char *section; /* "guarantee" matches every [guarantee "NAME"] */
  const char *key;
  const char *unit;          /* "" if it has none */
  double min;                /* least value, or least number of names */
  double max;                /* greatest value, or greatest number of names */
  const char *choices;       /* separated by '|' */
  const char *default_value; /* NULL if the key is required */
  size_t offset;             /* of the field in the settings struct */
  size_t size;               /* of a char array field, 0 for other fields */
  const char *doc;           /* description */
};

extern const struct gr_key gr_keys[];
extern const size_t gr_n_keys;

/* Returns the table row of a key, or NULL if there is no such key. */
const struct gr_key *
gr_key_find (enum gr_document_kind kind, const char *section, const char *key);

/* Returns true if the table has keys of this section. */
bool gr_key_has_section (enum gr_document_kind kind, const char *section);

/* Appends a description of the allowed values, with the unit. */
void gr_key_append_allowed (const struct gr_key *key, GString *out);

/* Returns true if a value is of the type and in the range of its key. */
bool gr_key_check_value (const struct gr_key *key, const char *value);

/* Returns true if text is 1 to 40 of a-z, 0-9 and '-'. */
bool gr_key_is_name (const char *text);

/* Converts a valid value and stores it in the field of the key. base points to
 * the settings struct, which must be zero-initialized or cleared: a string that
 * the field already holds is not freed. */
void gr_key_store (const struct gr_key *key, const char *value, void *base);

/* Parses text into a key file and appends one line to problems per syntax
 * error: malformed lines, duplicate sections and duplicate keys. Lines with an
 * error are skipped so that the rest of the document can be validated as well.
 * Returns NULL, with one line in problems, if the text is longer than
 * GR_DOCUMENT_MAX_BYTES or not UTF-8. Free with g_key_file_free (). */
GKeyFile *gr_ini_parse (const char *text, GPtrArray *problems);

/* Returns the value of a key without a trailing comment, which starts with
 * " ;", or NULL if the key is not set. Free with g_free (). */
char *
gr_ini_value (GKeyFile *file, const char *section, const struct gr_key *key);

/* Returns NAME of a section 'guarantee "NAME"', or NULL if section is not of
 * that form. The name is not validated. Free with g_free (). */
char *gr_ini_guarantee_name (const char *section);
