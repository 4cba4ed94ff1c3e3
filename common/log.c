#include "common/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_FIELDS 24

struct event_rate
{
  int64_t second;
  uint32_t written;
  uint32_t dropped;
};

/* Global, because GLib has one log writer for the whole process. */
struct log_state
{
  char *process;
  char *instance;
  GLogLevelFlags level;
  uint64_t hlc;
  GHashTable *rates;
  int descriptor; /* -1: standard error, with blocking writes */
  GString *buffer;
  uint64_t dropped_lines;
};

static struct log_state state = { .level = G_LOG_LEVEL_INFO, .descriptor = -1 };

/* A pipe that polls as writable accepts this many bytes without blocking (POSIX
 * PIPE_BUF). */
#define CHUNK_BYTES 4096

uint64_t
gr_hlc_now (void)
{
  uint64_t wall = (uint64_t)(g_get_real_time () / 1000) << 16;

  state.hlc = MAX (state.hlc + 1, wall);
  return state.hlc;
}

void
gr_hlc_observe (uint64_t remote)
{
  state.hlc = MAX (state.hlc, remote);
}

static void
append_json_string (GString *line, const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);

  g_string_append_c (line, '"');
  for (const char *c = valid; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_printf (line, "\\%c", *c);
      else if ((unsigned char)*c < 0x20)
        g_string_append_printf (line, "\\u%04x", (unsigned)*c);
      else
        g_string_append_c (line, *c);
    }
  g_string_append_c (line, '"');
  g_free (valid);
}

static void
append_field (GString *line, const char *name, const char *value)
{
  g_string_append_c (line, ',');
  append_json_string (line, name);
  g_string_append_c (line, ':');
  append_json_string (line, value);
}

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

/* Returns the name under which a field is written, or NULL for fields added by
 * GLib, which are not written. */
static const char *
field_name (const GLogField *field)
{
  if (strcmp (field->key, "MESSAGE") == 0)
    return "message";
  if (strncmp (field->key, "GR_", 3) == 0)
    return field->key + 3;
  return NULL;
}

static bool
is_writable (int descriptor)
{
  struct pollfd request = { .fd = descriptor, .events = POLLOUT };

  return poll (&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

void
gr_log_flush (void)
{
  gsize written_bytes = 0;

  while (state.buffer != NULL && written_bytes < state.buffer->len
         && is_writable (state.descriptor))
    {
      gsize size = MIN (state.buffer->len - written_bytes, CHUNK_BYTES);
      ssize_t written =
          write (state.descriptor, state.buffer->str + written_bytes, size);

      if (written <= 0)
        break;
      written_bytes += (gsize)written;
    }
  if (written_bytes > 0)
    g_string_erase (state.buffer, 0, (gssize)written_bytes);
}

void
gr_log_set_descriptor (int descriptor)
{
  state.descriptor = descriptor;
  if (state.buffer == NULL)
    state.buffer = g_string_new (NULL);
}

/* Adds a line to the buffer, or drops it if the buffer is full. The first line
 * after dropped ones is preceded by a line "log-dropped" with their number. */
static void
buffer_line (const char *line)
{
  if (state.buffer->len + strlen (line) > GR_LOG_MAX_BUFFER_BYTES)
    gr_log_flush ();
  if (state.buffer->len + strlen (line) > GR_LOG_MAX_BUFFER_BYTES)
    {
      state.dropped_lines++;
      return;
    }
  if (state.dropped_lines > 0)
    g_string_append_printf (state.buffer,
                            "{\"event\":\"log-dropped\",\"lines\":"
                            "%" G_GUINT64_FORMAT "}\n",
                            state.dropped_lines);
  state.dropped_lines = 0;
  g_string_append (state.buffer, line);
  gr_log_flush ();
}

static GLogWriterOutput
write_line (GLogLevelFlags level,
            const GLogField *fields,
            gsize n_fields,
            gpointer data)
{
  uint64_t hlc = gr_hlc_now ();
  g_autoptr (GDateTime) now = NULL;
  g_autofree char *time = NULL;
  GString *line;

  (void)data;
  if ((level & G_LOG_LEVEL_MASK) > state.level)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  time = g_date_time_format_iso8601 (now);
  line = g_string_new (NULL);
  g_string_append_printf (line, "{\"time\":\"%s\",\"hlc\":%" G_GUINT64_FORMAT,
                          time, hlc);
  append_field (line, "level", level_name (level));
  append_field (line, "process", state.process ? state.process : "-");
  append_field (line, "instance", state.instance ? state.instance : "-");
  for (gsize i = 0; i < n_fields; i++)
    {
      const char *name = field_name (&fields[i]);

      if (name != NULL && fields[i].length < 0)
        append_field (line, name, fields[i].value);
    }
  g_string_append (line, "}\n");
  if (state.descriptor >= 0)
    buffer_line (line->str);
  else
    fputs (line->str, stderr);
  g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

void
gr_log_init (const char *process, const char *instance)
{
  bool first = state.rates == NULL;

  g_free (state.process);
  g_free (state.instance);
  state.process = g_strdup (process);
  state.instance = g_strdup (instance);
  if (!first)
    return;
  state.rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_log_set_writer_func (write_line, NULL, NULL);
}

void
gr_log_set_level (GLogLevelFlags level)
{
  state.level = level;
}

/* Applies the rate limit of the event. Returns false if the line must be
 * dropped; otherwise sets *dropped to the number of lines dropped since the
 * last written line of this event. */
static bool
check_rate_limit (const char *event, uint32_t *dropped)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;
  struct event_rate *rate;

  *dropped = 0;
  if (state.rates == NULL)
    return true;
  rate = g_hash_table_lookup (state.rates, event);
  if (rate == NULL)
    {
      rate = g_new0 (struct event_rate, 1);
      g_hash_table_insert (state.rates, g_strdup (event), rate);
    }
  if (rate->second != second)
    {
      rate->second = second;
      rate->written = 0;
    }
  if (rate->written >= GR_LOG_MAX_PER_EVENT_PER_S)
    {
      rate->dropped++;
      return false;
    }
  rate->written++;
  *dropped = rate->dropped;
  rate->dropped = 0;
  return true;
}

static void
log_fields (GLogLevelFlags level, const char *event, va_list args)
{
  GLogField fields[MAX_FIELDS];
  char keys[MAX_FIELDS][48];
  char dropped_text[16];
  gsize n = 0;
  uint32_t dropped;
  const char *name;

  if ((level & G_LOG_LEVEL_MASK) > state.level
      || !check_rate_limit (event, &dropped))
    return;
  fields[n++] = (GLogField){ "GR_event", event, -1 };
  if (dropped > 0)
    {
      g_snprintf (dropped_text, sizeof dropped_text, "%u", dropped);
      fields[n++] = (GLogField){ "GR_dropped", dropped_text, -1 };
    }
  while ((name = va_arg (args, const char *)) != NULL && n < MAX_FIELDS)
    {
      const char *value = va_arg (args, const char *);

      if (value == NULL)
        continue;
      g_snprintf (keys[n], sizeof keys[n], "GR_%s", name);
      fields[n] = (GLogField){ keys[n], value, -1 };
      n++;
    }
  g_log_structured_array (level, fields, n);
}

void
gr_log_event (const char *event, ...)
{
  va_list args;

  va_start (args, event);
  log_fields (G_LOG_LEVEL_INFO, event, args);
  va_end (args);
}

void
gr_log_warning (const char *event, ...)
{
  va_list args;

  va_start (args, event);
  log_fields (G_LOG_LEVEL_WARNING, event, args);
  va_end (args);
}
