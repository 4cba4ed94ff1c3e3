/* Validation and conversion of single values. */
#include "settings/keys.h"

#include <math.h>
#include <string.h>

/* Maximum length of a name, without the terminating NUL. */
#define NAME_MAX_BYTES 40

bool
gr_key_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > NAME_MAX_BYTES)
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static bool
is_sha256 (const char *text)
{
  return strlen (text) == GR_SHA256_HEX_BYTES - 1
         && strspn (text, "0123456789abcdefABCDEF") == strlen (text);
}

static bool
is_uint (const char *text, double min, double max)
{
  uint64_t value;

  return g_ascii_string_to_unsigned (text, 10, (uint64_t)min, (uint64_t)max,
                                     &value, NULL);
}

/* Returns true if text consists of digits with at most one decimal point.
 * Signs, exponents, "inf" and "nan", which g_ascii_strtod () accepts, are
 * refused. */
static bool
is_number (const char *text, double min, double max)
{
  const char *point = strchr (text, '.');
  double value;

  if (!g_ascii_isdigit (text[0])
      || strspn (text, "0123456789.") != strlen (text))
    return false;
  if (point != NULL && (strchr (point + 1, '.') != NULL || point[1] == '\0'))
    return false;
  value = g_ascii_strtod (text, NULL);
  return isfinite (value) && value >= min && value <= max;
}

static bool
is_choice (const char *text, const char *choices)
{
  char **list = g_strsplit (choices, "|", -1);
  bool found = g_strv_contains ((const char *const *)list, text);

  g_strfreev (list);
  return found;
}

/* Returns true if text is IP:PORT, with an IPv6 address in brackets. */
static bool
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  char *host;
  bool valid;

  if (colon == NULL || !is_uint (colon + 1, 0, 65535))
    return false;
  host = g_strndup (text, (gsize)(colon - text));
  if (host[0] == '[' && g_str_has_suffix (host, "]"))
    {
      host[strlen (host) - 1] = '\0';
      valid = strchr (host, ':') != NULL && g_hostname_is_ip_address (host + 1);
    }
  else
    valid = strchr (host, ':') == NULL && g_hostname_is_ip_address (host);
  g_free (host);
  return valid && strlen (text) < GR_NAME_MAX;
}

static bool
is_url (const char *text)
{
  if (!g_str_has_prefix (text, "http://"))
    return false;
  return is_address (text + strlen ("http://"))
         && !g_str_has_suffix (text, ":0");
}

static bool
is_name_list (const char *text, const struct gr_key *key)
{
  char **list = g_strsplit (text, ";", -1);
  guint n = g_strv_length (list);
  bool valid;

  /* A list may end with a separator, because GKeyFile writes lists that way. */
  if (n > 0 && list[n - 1][0] == '\0')
    n--;
  valid =
      n >= (guint)key->min && n <= (guint)key->max && strlen (text) < key->size;
  for (guint i = 0; i < n && valid; i++)
    {
      valid = gr_key_is_name (list[i]);
      for (guint j = 0; j < i && valid; j++)
        valid = !g_str_equal (list[i], list[j]);
    }
  g_strfreev (list);
  return valid;
}

bool
gr_key_check_value (const struct gr_key *key, const char *value)
{
  switch (key->type)
    {
    case GR_KEY_NAME:
      return gr_key_is_name (value);
    case GR_KEY_NAMES:
      return is_name_list (value, key);
    case GR_KEY_UINT:
      return is_uint (value, key->min, key->max);
    case GR_KEY_NUMBER:
      return is_number (value, key->min, key->max);
    case GR_KEY_CHOICE:
      return is_choice (value, key->choices);
    case GR_KEY_SHA256:
      return value[0] == '\0' || is_sha256 (value);
    case GR_KEY_ADDRESS:
      return is_address (value);
    case GR_KEY_OPTIONAL_ADDRESS:
      return value[0] == '\0' || is_address (value);
    case GR_KEY_URL:
      return is_url (value);
    case GR_KEY_FILE:
      return value[0] == '\0' || g_path_is_absolute (value);
    }
  return false;
}

static void
append_range (const struct gr_key *key, const char *what, GString *out)
{
  char min[G_ASCII_DTOSTR_BUF_SIZE];
  char max[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (min, sizeof min, "%.0f", key->min);
  g_ascii_formatd (max, sizeof max, "%.0f", key->max);
  g_string_append_printf (out, "%s from %s to %s", what, min, max);
  if (key->unit[0] != '\0')
    g_string_append_printf (out, " %s", key->unit);
}

static void
append_choices (const char *choices, GString *out)
{
  char **list = g_strsplit (choices, "|", -1);

  for (guint i = 0; list[i] != NULL; i++)
    g_string_append_printf (out, "%s%s", i == 0 ? "" : ", ", list[i]);
  g_strfreev (list);
}

void
gr_key_append_allowed (const struct gr_key *key, GString *out)
{
  switch (key->type)
    {
    case GR_KEY_NAME:
      g_string_append (out, "1 to 40 of a-z, 0-9 and '-'");
      return;
    case GR_KEY_NAMES:
      g_string_append_printf (out,
                              "%.0f to %.0f different names separated by ';', "
                              "each 1 to 40 of a-z, 0-9 and '-', in less than "
                              "%zu bytes",
                              key->min, key->max, key->size);
      return;
    case GR_KEY_UINT:
      append_range (key, "a whole number", out);
      return;
    case GR_KEY_NUMBER:
      append_range (key, "a decimal number", out);
      return;
    case GR_KEY_CHOICE:
      append_choices (key->choices, out);
      return;
    case GR_KEY_SHA256:
      g_string_append (out, "64 hexadecimal digits, or empty");
      return;
    case GR_KEY_ADDRESS:
      g_string_append (out, "IP:PORT");
      return;
    case GR_KEY_OPTIONAL_ADDRESS:
      g_string_append (out, "IP:PORT, or empty");
      return;
    case GR_KEY_URL:
      g_string_append (out, "http://IP:PORT");
      return;
    case GR_KEY_FILE:
      g_string_append (out, "an absolute file name, or empty");
      return;
    }
}

static void
store_string (const struct gr_key *key, const char *value, void *field)
{
  char *copy;

  if (key->type == GR_KEY_SHA256)
    copy = g_ascii_strdown (value, -1);
  else
    copy = g_strdup (value);
  if (key->size == 0)
    {
      *(char **)field = copy;
      return;
    }
  g_strlcpy (field, copy, key->size);
  g_free (copy);
}

void
gr_key_store (const struct gr_key *key, const char *value, void *base)
{
  void *field = (char *)base + key->offset;

  if (key->type == GR_KEY_UINT)
    *(uint32_t *)field = (uint32_t)g_ascii_strtoull (value, NULL, 10);
  else if (key->type == GR_KEY_NUMBER)
    *(double *)field = g_ascii_strtod (value, NULL);
  else if (key->type == GR_KEY_CHOICE && key->kind == GR_DOCUMENT_TEAM)
    gr_priority_from_name (value, field);
  else
    store_string (key, value, field);
}
