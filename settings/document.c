#include "settings/document.h"

#include "settings/keys.h"

#include <stdarg.h>
#include <string.h>

static const char *const priority_names[] = {
  [GR_PRIORITY_URGENT] = "urgent",
  [GR_PRIORITY_NORMAL] = "normal",
  [GR_PRIORITY_BATCH] = "batch",
};

const char *
gr_priority_name (enum gr_priority priority)
{
  if ((unsigned)priority >= G_N_ELEMENTS (priority_names))
    return "normal";
  return priority_names[priority];
}

bool
gr_priority_from_name (const char *name, enum gr_priority *priority)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (priority_names); i++)
    if (g_str_equal (priority_names[i], name))
      {
        *priority = (enum gr_priority)i;
        return true;
      }
  return false;
}

static void
add_problem (GPtrArray *problems,
             const char *section,
             const char *key,
             const char *found,
             const char *allowed)
{
  char *line = found == NULL
                   ? g_strdup_printf ("[%s] %s: found nothing, allowed: %s",
                                      section, key, allowed)
                   : g_strdup_printf ("[%s] %s: found '%s', allowed: %s",
                                      section, key, found, allowed);

  g_ptr_array_add (problems, line);
}

/* Validates the values in a section of the document, and that no required key
 * is missing, against the table rows of table_section. */
static void
check_values (enum gr_document_kind kind,
              GKeyFile *file,
              const char *section,
              const char *table_section,
              GPtrArray *problems)
{
  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const struct gr_key *key = &gr_keys[i];
      GString *allowed;
      char *value;

      if (key->kind != kind || !g_str_equal (key->section, table_section))
        continue;
      value = gr_ini_value (file, section, key);
      if (value == NULL ? key->default_value != NULL
                        : gr_key_check_value (key, value))
        {
          g_free (value);
          continue;
        }
      allowed = g_string_new (NULL);
      gr_key_append_allowed (key, allowed);
      add_problem (problems, section, key->key, value, allowed->str);
      g_string_free (allowed, TRUE);
      g_free (value);
    }
}

static char *
allowed_keys (enum gr_document_kind kind, const char *section)
{
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < gr_n_keys; i++)
    if (gr_keys[i].kind == kind && g_str_equal (gr_keys[i].section, section))
      g_string_append_printf (out, "%s%s", out->len == 0 ? "" : ", ",
                              gr_keys[i].key);
  return g_string_free (out, FALSE);
}

static void
check_unknown_keys (enum gr_document_kind kind,
                    GKeyFile *file,
                    const char *section,
                    const char *table_section,
                    GPtrArray *problems)
{
  char **keys = g_key_file_get_keys (file, section, NULL, NULL);
  char *allowed = allowed_keys (kind, table_section);

  for (guint i = 0; keys != NULL && keys[i] != NULL; i++)
    if (gr_key_find (kind, table_section, keys[i]) == NULL)
      g_ptr_array_add (problems,
                       g_strdup_printf ("[%s] %s: found an unknown key, "
                                        "allowed: %s",
                                        section, keys[i], allowed));
  g_free (allowed);
  g_strfreev (keys);
}

/* Returns the section name in the table for a section of a document, or NULL
 * with a line added to problems if the section is unknown. */
static const char *
find_table_section (enum gr_document_kind kind,
                    const char *section,
                    GPtrArray *problems)
{
  char *name = NULL;
  bool valid;

  if (!g_str_equal (section, "guarantee") && gr_key_has_section (kind, section))
    return section;
  if (kind == GR_DOCUMENT_TEAM)
    name = gr_ini_guarantee_name (section);
  if (name == NULL)
    {
      static const char *const allowed[] = {
        [GR_DOCUMENT_PROCESS] = "process, platform, log",
        [GR_DOCUMENT_PLATFORM] = "members, store, shards, jobs, requests",
        [GR_DOCUMENT_TEAM] = "account, guarantee \"NAME\"",
        [GR_DOCUMENT_INSTANCE] = "instance, platform, bounds, log",
      };

      g_ptr_array_add (problems,
                       g_strdup_printf ("[%s]: found an unknown section, "
                                        "allowed: %s",
                                        section, allowed[kind]));
      return NULL;
    }
  valid = gr_key_is_name (name);
  if (!valid)
    add_problem (problems, section, "NAME", name,
                 "1 to 40 of a-z, 0-9 and '-'");
  g_free (name);
  return "guarantee";
}

static void
check_sections (enum gr_document_kind kind, GKeyFile *file, GPtrArray *problems)
{
  char **sections = g_key_file_get_groups (file, NULL);
  guint n_guarantees = 0;

  for (guint i = 0; sections[i] != NULL; i++)
    {
      const char *table_section =
          find_table_section (kind, sections[i], problems);

      if (table_section == NULL)
        continue;
      check_unknown_keys (kind, file, sections[i], table_section, problems);
      check_values (kind, file, sections[i], table_section, problems);
      n_guarantees += g_str_equal (table_section, "guarantee");
    }
  if (n_guarantees > GR_MAX_GUARANTEES)
    g_ptr_array_add (problems,
                     g_strdup_printf ("[guarantee]: found %u guarantees, "
                                      "allowed: at most %d",
                                      n_guarantees, GR_MAX_GUARANTEES));
  g_strfreev (sections);
}

/* Reports required keys in sections that the document does not have. */
static void
check_missing_sections (enum gr_document_kind kind,
                        GKeyFile *file,
                        GPtrArray *problems)
{
  const char *last_section = "";

  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const char *section = gr_keys[i].section;

      if (gr_keys[i].kind != kind || g_str_equal (section, last_section)
          || g_str_equal (section, "guarantee"))
        continue;
      last_section = section;
      if (!g_key_file_has_group (file, section))
        check_values (kind, file, section, section, problems);
    }
}

/* Fills the fields of one section with the values in file, or the defaults. */
static void
fill_section (enum gr_document_kind kind,
              GKeyFile *file,
              const char *section,
              const char *table_section,
              void *base)
{
  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const struct gr_key *key = &gr_keys[i];
      char *value;

      if (key->kind != kind || !g_str_equal (key->section, table_section))
        continue;
      value = gr_ini_value (file, section, key);
      if (value != NULL)
        gr_key_store (key, value, base);
      else
        gr_key_store (key, key->default_value == NULL ? "" : key->default_value,
                      base);
      g_free (value);
    }
}

/* Fills all fields except those of guarantees. */
static void
fill_document (enum gr_document_kind kind, GKeyFile *file, void *base)
{
  const char *last_section = "";

  for (size_t i = 0; i < gr_n_keys; i++)
    {
      const char *section = gr_keys[i].section;

      if (gr_keys[i].kind != kind || g_str_equal (section, last_section)
          || g_str_equal (section, "guarantee"))
        continue;
      last_section = section;
      fill_section (kind, file, section, section, base);
    }
}

static void
fill_team (GKeyFile *file, struct gr_account_settings *settings)
{
  char **sections = g_key_file_get_groups (file, NULL);

  fill_document (GR_DOCUMENT_TEAM, file, settings);
  for (guint i = 0; sections[i] != NULL; i++)
    {
      char *name = gr_ini_guarantee_name (sections[i]);
      struct gr_guarantee *guarantee;

      if (name == NULL || settings->n_guarantees == GR_MAX_GUARANTEES)
        {
          g_free (name);
          continue;
        }
      guarantee = &settings->guarantees[settings->n_guarantees++];
      g_strlcpy (guarantee->name, name, sizeof guarantee->name);
      fill_section (GR_DOCUMENT_TEAM, file, sections[i], "guarantee",
                    guarantee);
      g_free (name);
    }
  g_strfreev (sections);
}

/* Guarantees above the quota could never be used in full. */
static void
check_team (GKeyFile *file, GPtrArray *problems)
{
  struct gr_account_settings team = { 0 };
  uint64_t guaranteed = 0;
  char *found;
  char *allowed;

  fill_team (file, &team);
  for (uint32_t i = 0; i < team.n_guarantees; i++)
    {
      const struct gr_guarantee *guarantee = &team.guarantees[i];

      guaranteed += (uint64_t)guarantee->count * guarantee->shape.workers
                    * guarantee->shape.accelerators_per_worker;
    }
  if (team.quota_accelerators == 0 || guaranteed <= team.quota_accelerators)
    return;
  found = g_strdup_printf ("%u", team.quota_accelerators);
  allowed = g_strdup_printf ("0, or at least the %" G_GUINT64_FORMAT
                             " accelerators of the guarantees",
                             guaranteed);
  add_problem (problems, "account", "quota_accelerators", found, allowed);
  g_free (found);
  g_free (allowed);
}

/* The lease of running work must last longer than the lease on the shard's
 * owner key, so that running work survives a change of owner. */
static void
check_platform (GKeyFile *file, GPtrArray *problems)
{
  struct gr_platform_settings platform = { 0 };
  char *found;

  fill_document (GR_DOCUMENT_PLATFORM, file, &platform);
  found = g_strdup_printf ("%u", platform.run_lease_term_ms);
  if (platform.run_lease_term_ms <= platform.owner_lease_ttl_s * 1000)
    add_problem (problems, "shards", "run_lease_term_ms", found,
                 "more than owner_lease_ttl_s");
  if (platform.run_lease_term_ms < platform.start_lease_term_ms)
    add_problem (problems, "shards", "run_lease_term_ms", found,
                 "at least start_lease_term_ms");
  g_free (found);
}

static void
check_process (GKeyFile *file, GPtrArray *problems)
{
  struct gr_process_settings process = { 0 };

  fill_document (GR_DOCUMENT_PROCESS, file, &process);
  if ((process.tls_certificate[0] == '\0') != (process.tls_key[0] == '\0'))
    add_problem (problems, "process",
                 process.tls_key[0] == '\0' ? "tls_key" : "tls_certificate",
                 NULL, "both of tls_certificate and tls_key, or neither");
  gr_process_settings_clear (&process);
}

static void
check_file (enum gr_document_kind kind, GKeyFile *file, GPtrArray *problems)
{
  guint before = problems->len;

  check_sections (kind, file, problems);
  check_missing_sections (kind, file, problems);
  /* Relations between keys can only be checked if every value is valid. */
  if (problems->len > before)
    return;
  if (kind == GR_DOCUMENT_PROCESS)
    check_process (file, problems);
  else if (kind == GR_DOCUMENT_PLATFORM)
    check_platform (file, problems);
  else if (kind == GR_DOCUMENT_TEAM)
    check_team (file, problems);
}

/* Parses and validates a document; NULL if it has an error. */
static GKeyFile *
parse_valid (enum gr_document_kind kind, const char *text, GPtrArray *problems)
{
  guint before = problems->len;
  GKeyFile *file = gr_ini_parse (text, problems);
  bool local = kind == GR_DOCUMENT_PROCESS || kind == GR_DOCUMENT_INSTANCE;
  bool deleted = text[0] == '\0' && !local;

  if (file == NULL)
    return NULL;
  if (!deleted)
    check_file (kind, file, problems);
  if (problems->len == before)
    return file;
  g_key_file_free (file);
  return NULL;
}

bool
gr_document_check (enum gr_document_kind kind,
                   const char *text,
                   GPtrArray *problems)
{
  GKeyFile *file = parse_valid (kind, text, problems);

  if (file == NULL)
    return false;
  g_key_file_free (file);
  return true;
}

bool
gr_document_kind_of_path (const char *path,
                          enum gr_document_kind *kind,
                          struct gr_error *error)
{
  if (g_str_equal (path, "platform"))
    {
      *kind = GR_DOCUMENT_PLATFORM;
      return true;
    }
  if (g_str_has_prefix (path, "teams/")
      && gr_key_is_name (path + strlen ("teams/")))
    {
      *kind = GR_DOCUMENT_TEAM;
      return true;
    }
  return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                       "'%.100s' is not a settings path; allowed: platform, "
                       "teams/NAME with NAME 1 to 40 of a-z, 0-9 and '-'",
                       path);
}

/* Same as parse_valid (), but sets error to the first problem. */
static GKeyFile *
parse_with_error (enum gr_document_kind kind,
                  const char *text,
                  struct gr_error *error)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  GKeyFile *file = parse_valid (kind, text, problems);

  if (file == NULL)
    gr_error_set (error, GR_ERROR_BAD_SETTINGS, "%s%s",
                  (const char *)problems->pdata[0],
                  problems->len > 1 ? " (and more)" : "");
  g_ptr_array_unref (problems);
  return file;
}

bool
gr_document_process (const char *text,
                     struct gr_process_settings *settings,
                     struct gr_error *error)
{
  GKeyFile *file = parse_with_error (GR_DOCUMENT_PROCESS, text, error);

  memset (settings, 0, sizeof *settings);
  if (file == NULL)
    return false;
  fill_document (GR_DOCUMENT_PROCESS, file, settings);
  g_key_file_free (file);
  return true;
}

static void
clear_strings (enum gr_document_kind kind, void *base)
{
  for (size_t i = 0; i < gr_n_keys; i++)
    if (gr_keys[i].kind == kind && gr_keys[i].size == 0
        && gr_keys[i].type != GR_KEY_UINT && gr_keys[i].type != GR_KEY_NUMBER)
      g_free (*(char **)((char *)base + gr_keys[i].offset));
}

void
gr_process_settings_clear (struct gr_process_settings *settings)
{
  clear_strings (GR_DOCUMENT_PROCESS, settings);
  memset (settings, 0, sizeof *settings);
}

bool
gr_document_instance (const char *text,
                      struct gr_instance_settings *settings,
                      struct gr_error *error)
{
  GKeyFile *file = parse_with_error (GR_DOCUMENT_INSTANCE, text, error);

  memset (settings, 0, sizeof *settings);
  if (file == NULL)
    return false;
  fill_document (GR_DOCUMENT_INSTANCE, file, settings);
  g_key_file_free (file);
  return true;
}

void
gr_instance_settings_clear (struct gr_instance_settings *settings)
{
  clear_strings (GR_DOCUMENT_INSTANCE, settings);
  memset (settings, 0, sizeof *settings);
}

bool
gr_document_platform (const char *text,
                      struct gr_platform_settings *settings,
                      struct gr_error *error)
{
  GKeyFile *file = parse_with_error (GR_DOCUMENT_PLATFORM, text, error);

  memset (settings, 0, sizeof *settings);
  if (file == NULL)
    return false;
  fill_document (GR_DOCUMENT_PLATFORM, file, settings);
  g_key_file_free (file);
  return true;
}

bool
gr_document_team (const char *name,
                  const char *text,
                  struct gr_account_settings *settings,
                  struct gr_error *error)
{
  GKeyFile *file = parse_with_error (GR_DOCUMENT_TEAM, text, error);

  memset (settings, 0, sizeof *settings);
  if (file == NULL)
    return false;
  g_strlcpy (settings->name, name, sizeof settings->name);
  fill_team (file, settings);
  g_key_file_free (file);
  return true;
}
