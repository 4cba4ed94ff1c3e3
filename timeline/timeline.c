#include "timeline/timeline.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

struct gr_timeline
{
  GPtrArray *records;
  GHashTable *files; /* owned names */
  uint32_t skipped;
  bool sorted;
};

static void
field_clear (void *data)
{
  struct gr_record_field *field = data;

  g_free (field->name);
  g_free (field->value);
}

static void
record_free (void *data)
{
  struct gr_record *record = data;

  g_free (record->source);
  g_free (record->event);
  g_free (record->text);
  g_array_unref (record->fields);
  g_free (record);
}

struct gr_timeline *
gr_timeline_create (void)
{
  struct gr_timeline *timeline = g_new0 (struct gr_timeline, 1);

  timeline->records = g_ptr_array_new_with_free_func (record_free);
  timeline->files =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return timeline;
}

void
gr_timeline_destroy (struct gr_timeline *timeline)
{
  if (timeline == NULL)
    return;
  g_ptr_array_unref (timeline->records);
  g_hash_table_destroy (timeline->files);
  g_free (timeline);
}

/* Returns a value as text, or NULL for objects, arrays and null. Free with
 * g_free (). */
static char *
value_text (JsonNode *node)
{
  if (!JSON_NODE_HOLDS_VALUE (node))
    return NULL;
  if (json_node_get_value_type (node) == G_TYPE_STRING)
    return g_strdup (json_node_get_string (node));
  return json_to_string (node, FALSE);
}

static void
add_field (struct gr_record *record, const char *name, JsonNode *node)
{
  static const char *const known[] = { "hlc", "process", "instance", "event",
                                       NULL };
  struct gr_record_field field;

  if (g_strv_contains (known, name))
    return;
  field.value = value_text (node);
  if (field.value == NULL)
    return;
  field.name = g_strdup (name);
  g_array_append_val (record->fields, field);
}

static char *
string_member (JsonObject *object, const char *name, const char *fallback)
{
  JsonNode *node = json_object_get_member (object, name);
  char *text = node == NULL ? NULL : value_text (node);

  return text == NULL ? g_strdup (fallback) : text;
}

/* Returns the JSON object of a log line, or NULL if the line is not a record: a
 * record is an object with a positive integer hlc. */
static JsonObject *
record_object (JsonNode *node)
{
  JsonNode *hlc;

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  hlc = json_object_get_member (json_node_get_object (node), "hlc");
  if (hlc == NULL || !JSON_NODE_HOLDS_VALUE (hlc)
      || json_node_get_value_type (hlc) != G_TYPE_INT64
      || json_node_get_int (hlc) <= 0)
    return NULL;
  return json_node_get_object (node);
}

static struct gr_record *
parse_record (const char *text)
{
  JsonNode *node = json_from_string (text, NULL);
  JsonObject *object = record_object (node);
  struct gr_record *record = NULL;
  GList *names;
  char *process;
  char *instance;

  if (object != NULL)
    {
      record = g_new0 (struct gr_record, 1);
      record->hlc = (uint64_t)json_object_get_int_member (object, "hlc");
      process = string_member (object, "process", "-");
      instance = string_member (object, "instance", "-");
      record->source = g_strconcat (process, "/", instance, NULL);
      record->event = string_member (object, "event", "");
      record->text = g_strdup (text);
      record->fields =
          g_array_new (FALSE, FALSE, sizeof (struct gr_record_field));
      g_array_set_clear_func (record->fields, field_clear);
      names = json_object_get_members (object);
      for (GList *name = names; name != NULL; name = name->next)
        add_field (record, name->data,
                   json_object_get_member (object, name->data));
      g_list_free (names);
      g_free (process);
      g_free (instance);
    }
  if (node != NULL)
    json_node_unref (node);
  return record;
}

static const char *
intern_file_name (struct gr_timeline *timeline, const char *name)
{
  gpointer interned;

  if (!g_hash_table_lookup_extended (timeline->files, name, &interned, NULL))
    {
      interned = g_strdup (name);
      g_hash_table_add (timeline->files, interned);
    }
  return interned;
}

void
gr_timeline_add_stream (struct gr_timeline *timeline,
                        const char *name,
                        FILE *stream)
{
  const char *file = intern_file_name (timeline, name);
  char *line = NULL;
  size_t size = 0;
  uint32_t number = 0;
  ssize_t length;

  while ((length = getline (&line, &size, stream)) >= 0)
    {
      struct gr_record *record;
      const char *text;

      number++;
      if (length > 0 && line[length - 1] == '\n')
        line[length - 1] = '\0';
      if (line[0] == '\0')
        continue;
      /* fleetbench --log, the users' benchmark, prefixes each line of a process
       * with its own time and the name of the machine. */
      text = strchr (line, '{');
      record = text ? parse_record (text) : NULL;
      if (record == NULL)
        {
          timeline->skipped++;
          continue;
        }
      record->file = file;
      record->line = number;
      g_ptr_array_add (timeline->records, record);
    }
  free (line);
  timeline->sorted = false;
}

bool
gr_timeline_add_file (struct gr_timeline *timeline,
                      const char *file,
                      struct gr_error *error)
{
  FILE *stream = g_str_equal (file, "-") ? stdin : fopen (file, "re");
  bool failed;

  if (stream == NULL)
    return gr_error_set (error, GR_ERROR_NOT_FOUND, "%s: %s", file,
                         g_strerror (errno));
  gr_timeline_add_stream (timeline, file, stream);
  failed = ferror (stream) != 0;
  if (stream != stdin)
    fclose (stream);
  if (failed)
    return gr_error_set (error, GR_ERROR_NOT_FOUND, "%s: cannot be read", file);
  return true;
}

uint32_t
gr_timeline_skipped (const struct gr_timeline *timeline)
{
  return timeline->skipped;
}

/* Orders records by logical time. The order of records with equal times does
 * not depend on the order in which files were added. */
static gint
compare_records (gconstpointer a, gconstpointer b)
{
  const struct gr_record *left = *(struct gr_record *const *)a;
  const struct gr_record *right = *(struct gr_record *const *)b;
  int order;

  if (left->hlc != right->hlc)
    return left->hlc < right->hlc ? -1 : 1;
  order = strcmp (left->source, right->source);
  if (order == 0)
    order = strcmp (left->file, right->file);
  if (order == 0)
    order = left->line < right->line ? -1 : left->line > right->line;
  return order;
}

const GPtrArray *
gr_timeline_records (struct gr_timeline *timeline)
{
  if (!timeline->sorted)
    g_ptr_array_sort (timeline->records, compare_records);
  timeline->sorted = true;
  return timeline->records;
}

const char *
gr_record_get (const struct gr_record *record, const char *name)
{
  for (guint i = 0; i < record->fields->len; i++)
    {
      const struct gr_record_field *field =
          &g_array_index (record->fields, struct gr_record_field, i);

      if (g_str_equal (field->name, name))
        return field->value;
    }
  return NULL;
}

/* Returns true if a record refers to a job. A record of the users' platform may
 * have its id in the field "job", as the prefix of the name in "task", in "for"
 * (the job for which another run was preempted) or in the list "jobs".
 */
static bool
refers_to_job (const struct gr_record *record, const char *id)
{
  const char *task = gr_record_get (record, "task");
  const char *preempted_for = gr_record_get (record, "for");
  const char *list = gr_record_get (record, "jobs");
  size_t length = strlen (id);

  if (g_strcmp0 (gr_record_get (record, "job"), id) == 0
      || g_strcmp0 (preempted_for, id) == 0)
    return true;
  if (task != NULL && strncmp (task, id, length) == 0 && task[length] == '.')
    return true;
  if (list != NULL)
    {
      g_auto (GStrv) ids = g_strsplit (list, ",", -1);

      return g_strv_contains ((const char *const *)ids, id);
    }
  return false;
}

static bool
refers_to_any (const struct gr_record *record, char **ids)
{
  for (; ids != NULL && *ids != NULL; ids++)
    if (refers_to_job (record, *ids))
      return true;
  return false;
}

static bool
list_matches (char **list, const char *value)
{
  if (list == NULL)
    return true;
  return value != NULL && g_strv_contains ((const char *const *)list, value);
}

bool
gr_timeline_filter_matches (const struct gr_timeline_filter *filter,
                            const struct gr_record *record)
{
  return list_matches (filter->events, record->event)
         && list_matches (filter->requests, gr_record_get (record, "request"))
         && (filter->jobs == NULL || refers_to_any (record, filter->jobs))
         && list_matches (filter->shards, gr_record_get (record, "shard"));
}

const char *
gr_record_topic (const struct gr_record *record)
{
  /* The first row whose prefix matches the event's name applies. */
  static const struct
  {
    const char *prefix;
    const char *topic;
  } topics[] = {
    { "owner-", "1 owner" },
    { "store-", "2 store" },
    { "config-", "2 store" },
    { "client-", "3 clients" },
    { "run-placed", "4 starts" },
    { "run-adopted", "4 starts" },
    { "start-failed", "4 starts" },
    { "run-", "5 ends" },
    { "progress-", "6 recorded ends" },
    { "job-", "6 recorded ends" },
    { "records-", "6 recorded ends" },
    { "worker-", "7 workers" },
    { "registry-", "7 workers" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (topics); i++)
    if (g_str_has_prefix (record->event, topics[i].prefix))
      return topics[i].topic;
  return "8 processes";
}

char *
gr_timeline_format_time (uint64_t hlc)
{
  int64_t unix_ms = (int64_t)(hlc >> 16);
  GDateTime *time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  char *seconds;
  char *text;

  /* GDateTime has no dates after the year 9999. */
  if (time == NULL)
    return g_strdup_printf ("%" G_GINT64_FORMAT "ms+%u", unix_ms,
                            (unsigned)(hlc & 0xffff));
  seconds = g_date_time_format (time, "%Y-%m-%dT%H:%M:%S");
  text = g_strdup_printf ("%s.%03dZ+%u", seconds, (int)(unix_ms % 1000),
                          (unsigned)(hlc & 0xffff));
  g_free (seconds);
  g_date_time_unref (time);
  return text;
}
