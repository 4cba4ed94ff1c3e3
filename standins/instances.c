#include "standins/instances.h"

#include "http/json.h"

#include <string.h>

#define PATH "/v1/instances"

/* A change that is not visible in the list yet. */
struct pending_change
{
  char *name;
  JsonObject *instance; /* NULL: removed */
  int64_t changed_ms;
};

struct gr_standin_instances
{
  struct gr_standin *base;
  GHashTable *visible; /* name -> JsonObject */
  GQueue pending;      /* struct pending_change, oldest first */
  int64_t lag_ms;      /* delay until a change is visible */
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
change_free (void *data)
{
  struct pending_change *change = data;

  g_clear_pointer (&change->instance, json_object_unref);
  g_free (change->name);
  g_free (change);
}

static void
apply_due_changes (struct gr_standin_instances *instances)
{
  struct pending_change *change = g_queue_peek_head (&instances->pending);

  while (change != NULL && change->changed_ms + instances->lag_ms <= now_ms ())
    {
      g_queue_pop_head (&instances->pending);
      if (change->instance == NULL)
        g_hash_table_remove (instances->visible, change->name);
      else
        g_hash_table_replace (instances->visible, g_strdup (change->name),
                              g_steal_pointer (&change->instance));
      change_free (change);
      change = g_queue_peek_head (&instances->pending);
    }
}

static void
add_change (struct gr_standin_instances *instances,
            const char *name,
            JsonObject *instance)
{
  struct pending_change *change = g_new0 (struct pending_change, 1);

  change->name = g_strdup (name);
  change->instance = instance ? json_object_ref (instance) : NULL;
  change->changed_ms = now_ms ();
  g_queue_push_tail (&instances->pending, change);
}

static void
add_instance (const char *name, JsonObject *instance, JsonArray *list)
{
  static const char *const members[] = { "role", "data_centre", "address" };
  JsonObject *row = json_object_new ();
  const char *text;
  bool leaving = false;

  json_object_set_string_member (row, "name", name);
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      text = gr_json_peek_string (instance, members[i]);
      json_object_set_string_member (row, members[i], text ? text : "");
    }
  gr_json_get_bool (instance, "leaving", false, &leaving);
  json_object_set_boolean_member (row, "leaving", leaving);
  json_array_add_object_element (list, row);
}

static void
reply_list (struct gr_standin_instances *instances,
            struct gr_standin_call *call)
{
  JsonObject *answer = json_object_new ();
  JsonArray *list = json_array_new ();
  GHashTableIter iter;
  void *name;
  void *instance;

  g_hash_table_iter_init (&iter, instances->visible);
  while (g_hash_table_iter_next (&iter, &name, &instance))
    add_instance (name, instance, list);
  json_object_set_array_member (answer, "instances", list);
  gr_standin_reply (call, 200, answer);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_standin_instances *instances = context;
  const char *name = NULL;

  if (g_str_has_prefix (call->path, PATH "/"))
    name = call->path + strlen (PATH "/");
  apply_due_changes (instances);
  if (strcmp (call->path, PATH) == 0 && strcmp (call->method, "GET") == 0)
    {
      reply_list (instances, call);
      return;
    }
  if (name == NULL || name[0] == '\0')
    {
      gr_standin_reply (call, 404, NULL);
      return;
    }
  if (strcmp (call->method, "PUT") == 0 && call->body != NULL)
    add_change (instances, name, call->body);
  else if (strcmp (call->method, "DELETE") == 0)
    add_change (instances, name, NULL);
  else
    {
      gr_standin_reply (call, 400, NULL);
      return;
    }
  gr_standin_reply (call, 200, NULL);
}

static bool
is_write (const struct gr_standin_call *call)
{
  return strcmp (call->method, "GET") != 0;
}

static bool
control (JsonObject *body, void *context)
{
  struct gr_standin_instances *instances = context;

  return gr_json_get_int (body, "lag_ms", 0, 3600000, instances->lag_ms,
                          &instances->lag_ms);
}

static const struct gr_standin_ops ops = {
  .is_write = is_write,
  .apply = apply,
  .control = control,
};

struct gr_standin_instances *
gr_standin_instances_create (const char *listen, struct gr_error *error)
{
  struct gr_standin_instances *instances =
      g_new0 (struct gr_standin_instances, 1);

  instances->visible = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_object_unref);
  g_queue_init (&instances->pending);
  instances->base = gr_standin_create (listen, &ops, instances, error);
  if (instances->base == NULL)
    g_clear_pointer (&instances, gr_standin_instances_destroy);
  return instances;
}

void
gr_standin_instances_destroy (struct gr_standin_instances *instances)
{
  if (instances == NULL)
    return;
  gr_standin_destroy (instances->base);
  g_queue_clear_full (&instances->pending, change_free);
  g_hash_table_destroy (instances->visible);
  g_free (instances);
}

struct gr_standin *
gr_standin_instances_base (struct gr_standin_instances *instances)
{
  return instances->base;
}

void
gr_standin_instances_set_lag (struct gr_standin_instances *instances,
                              int64_t lag_ms)
{
  instances->lag_ms = lag_ms;
}
