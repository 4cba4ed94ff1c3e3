#include "instance/epoch-record.h"

#include <glib.h>
#include <string.h>

#define UNKNOWN "-"

char *
gr_epoch_process (const char *instance, const char *address)
{
  const char *port = strrchr (address, ':');

  if (*instance == '\0' || strpbrk (instance, " @") != NULL || port == NULL
      || strchr (address, ' ') != NULL || g_str_equal (port, ":0")
      || g_str_has_prefix (address, "0.0.0.0:")
      || g_str_has_prefix (address, "[::]:"))
    return NULL;
  return g_strdup_printf ("%s@%s", instance, address);
}

static char *
parse_process (const char *word)
{
  return strchr (word, '@') != NULL ? g_strdup (word) : NULL;
}

struct gr_epoch_record
gr_epoch_record_parse (const char *text)
{
  struct gr_epoch_record record = { .epoch = g_ascii_strtoll (text, NULL, 10) };
  g_auto (GStrv) words = g_strsplit (text, " ", -1);
  gint64 epoch;

  if (g_strv_length (words) != 3
      || !g_ascii_string_to_signed (words[0], 10, 1, INT64_MAX, &epoch, NULL))
    return record;
  record.process = parse_process (words[1]);
  record.former_process = parse_process (words[2]);
  return record;
}

void
gr_epoch_record_clear (struct gr_epoch_record *record)
{
  g_free (record->process);
  g_free (record->former_process);
  *record = (struct gr_epoch_record){ 0 };
}

char *
gr_epoch_record_next (const struct gr_epoch_record *last, const char *process)
{
  return g_strdup_printf ("%" G_GINT64_FORMAT " %s %s", last->epoch + 1,
                          process ? process : UNKNOWN,
                          last->process ? last->process : UNKNOWN);
}
