/* The const table of settings. Internal to settings/. */
#pragma once

#include "settings/document.h"

#include <stddef.h>

enum gr_key_type
{
  GR_KEY_NAME,             /* 1 to 40 of a-z, 0-9 and '-' */
  GR_KEY_NAMES,            /* names separated by ';' */
  GR_KEY_UINT,             /* whole number from min to max */
  GR_KEY_NUMBER,           /* decimal number from min to max */
  GR_KEY_CHOICE,           /* one of choices, separated by '|' */
  GR_KEY_SHA256,           /* 64 hexadecimal digits, or empty */
  GR_KEY_ADDRESS,          /* IP:PORT */
  GR_KEY_OPTIONAL_ADDRESS, /* IP:PORT, or empty */
  GR_KEY_URL,              /* http://IP:PORT */
  GR_KEY_FILE,             /* absolute file name, or empty */
};

struct gr_key
{
  enum gr_document_kind kind;
  enum gr_key_type type;
  const char *section; /* "guarantee" stands for every [guarantee "NAME"] */
  const char *key;
  const char *unit; /* "" if it has none */
  double min;
  double max;
  const char *choices;
  const char *fallback; /* default; NULL if the key is required */
  size_t offset;        /* of the field in the typed view */
  size_t size;          /* of a character array; 0 if not one */
  const char *doc;
};

extern const struct gr_key gr_keys[];
extern const size_t gr_n_keys;

/* NULL if there is no such key. */
const struct gr_key *
gr_key_find (enum gr_document_kind kind, const char *section, const char *key);

bool gr_key_has_section (enum gr_document_kind kind, const char *section);

/* What a value may be, in words. */
void gr_key_append_allowed (const struct gr_key *key, GString *out);

/* Checks one value against its row. */
bool gr_key_check_value (const struct gr_key *key, const char *value);

bool gr_key_is_name (const char *text);

/* Stores a checked value into the typed view that base points to. */
void gr_key_store (const struct gr_key *key, const char *value, void *base);

/* Reads text into a key file, with a line in problems for each error of
 * syntax: malformed lines, duplicate sections and keys. These lines are left
 * out, so that the rest can be checked as well. Returns NULL for text that is
 * too long or not UTF-8, also with a problem. */
GKeyFile *gr_ini_parse (const char *text, GPtrArray *problems);

/* Value of a key, without a comment (" ;") after it. NULL if it is not set.
 * Free with g_free (). */
char *
gr_ini_value (GKeyFile *file, const char *section, const struct gr_key *key);

/* Splits 'guarantee "NAME"'. Returns NULL if section is not of that form; the
 * name is not checked. Free with g_free (). */
char *gr_ini_guarantee_name (const char *section);
