/* The table of keys as text. */
#include "settings/print.h"

#include "settings/keys.h"

static void
print_key (const struct gr_key *key, GString *out)
{
  g_string_append_printf (out, "# %s\n# ", key->doc);
  gr_key_append_allowed (key, out);
  if (key->fallback == NULL)
    g_string_append_printf (out, "; required\n#%s =\n", key->key);
  else
    g_string_append_printf (out, "\n%s = %s\n", key->key, key->fallback);
}

void
gr_document_print_keys (enum gr_document_kind kind, GString *out)
{
  const char *last = "";

  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const struct gr_key *key = &gr_keys[i];

      if (key->kind != kind)
        continue;
      if (!g_str_equal (key->section, last))
        g_string_append_printf (
            out, "%s[%s%s]\n", last[0] == '\0' ? "" : "\n", key->section,
            g_str_equal (key->section, "guarantee") ? " \"NAME\"" : "");
      last = key->section;
      print_key (key, out);
    }
}

static void
print_row (const struct gr_key *key, GString *out)
{
  g_string_append_printf (out, "| `%s` | ", key->key);
  gr_key_append_allowed (key, out);
  if (key->fallback == NULL)
    g_string_append (out, " | required | ");
  else if (key->fallback[0] == '\0')
    g_string_append (out, " | empty | ");
  else
    g_string_append_printf (out, " | `%s` | ", key->fallback);
  g_string_append_printf (out, "%s |\n", key->doc);
}

void
gr_document_print_markdown (enum gr_document_kind kind, GString *out)
{
  const char *last = "";

  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const struct gr_key *key = &gr_keys[i];

      if (key->kind != kind)
        continue;
      if (!g_str_equal (key->section, last))
        g_string_append_printf (
            out,
            "\n### [%s%s]\n\n"
            "| key | value | default | meaning |\n"
            "| --- | --- | --- | --- |\n",
            key->section,
            g_str_equal (key->section, "guarantee") ? " \"NAME\"" : "");
      last = key->section;
      print_row (key, out);
    }
}
