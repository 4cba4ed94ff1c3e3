#include "targets/instances.h"

#include "http/http.h"
#include "http/json.h"

#include <string.h>

/* More than all instances of the largest planned region. */
#define MAX_INSTANCES 20000

struct gr_instances
{
  struct gr_http *http;
  char *url;
  uint32_t interval_ms;
  GSource *timer;
  void (*list_received) (const struct gr_instance *list,
                         uint32_t count,
                         void *context);
  void (*poll_failed) (const struct gr_error *error, void *context);
  void *context;
  bool destroyed;
};

static const char *const role_names[] = {
  [GR_ROLE_ENTRY] = "entry",
  [GR_ROLE_SCHEDULER] = "scheduler",
  [GR_ROLE_WORKER] = "worker",
  [GR_ROLE_EXECUTOR] = "executor",
};

const char *
gr_instance_role_name (enum gr_instance_role role)
{
  return (unsigned)role < G_N_ELEMENTS (role_names) ? role_names[role]
                                                    : "unknown";
}

bool
gr_instance_role_from_name (const char *name, enum gr_instance_role *role)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (role_names); i++)
    if (strcmp (role_names[i], name) == 0)
      {
        *role = (enum gr_instance_role)i;
        return true;
      }
  return false;
}

static bool
decode_instance (JsonObject *object, struct gr_instance *instance)
{
  char role[GR_NAME_MAX];

  return object != NULL
         && gr_json_get_string (object, "name", instance->name,
                                sizeof instance->name)
         && gr_json_get_string (object, "role", role, sizeof role)
         && gr_instance_role_from_name (role, &instance->role)
         && gr_json_get_string (object, "data_centre", instance->data_centre,
                                sizeof instance->data_centre)
         && gr_json_get_string (object, "address", instance->address,
                                sizeof instance->address)
         && gr_json_get_bool (object, "leaving", false, &instance->leaving)
         && instance->name[0] != '\0' && instance->address[0] != '\0';
}

/* One malformed instance makes the whole list invalid: if it were left out, the
 * instance would seem to have been removed. */
static bool
decode_list (GBytes *body, GArray *list, struct gr_error *error)
{
  JsonObject *object = gr_json_parse (body, error);
  JsonArray *array = NULL;
  bool valid;

  if (object == NULL)
    return false;
  valid = gr_json_get_array (object, "instances", &array) && array != NULL
          && json_array_get_length (array) <= MAX_INSTANCES;
  for (guint i = 0; valid && i < json_array_get_length (array); i++)
    {
      struct gr_instance instance = { 0 };

      valid = decode_instance (gr_json_array_object (array, i), &instance);
      g_array_append_val (list, instance);
    }
  json_object_unref (object);
  if (!valid)
    gr_error_set (error, GR_ERROR_PROTOCOL, "the instance list is malformed");
  return valid;
}

static gboolean poll_list (gpointer data);

static void
schedule_poll (struct gr_instances *instances, uint32_t delay_ms)
{
  instances->timer = g_timeout_source_new (delay_ms);
  g_source_set_callback (instances->timer, poll_list, instances, NULL);
  g_source_attach (instances->timer, NULL);
}

static void
poll_done (const struct gr_http_response *response,
           const struct gr_error *error,
           void *context)
{
  struct gr_instances *instances = context;
  struct gr_error failure = GR_ERROR_INIT;
  GArray *list;

  if (instances->destroyed)
    return;
  list = g_array_new (FALSE, TRUE, sizeof (struct gr_instance));
  /* Schedule the next poll first, because the callbacks may destroy the
   * client. */
  schedule_poll (instances, instances->interval_ms);
  if (error != NULL)
    failure = *error;
  else if (response->status != 200)
    gr_error_set (&failure, GR_ERROR_IO,
                  "the instance list responded with status %u",
                  response->status);
  else
    decode_list (response->body, list, &failure);
  if (failure.kind == GR_ERROR_NONE)
    instances->list_received ((const struct gr_instance *)(void *)list->data,
                              list->len, instances->context);
  else
    instances->poll_failed (&failure, instances->context);
  g_array_free (list, TRUE);
}

static gboolean
poll_list (gpointer data)
{
  struct gr_instances *instances = data;
  struct gr_http_request request = {
    .method = "GET",
    .url = instances->url,
    .may_resend = true,
    /* A poll that takes longer fails, so that an operator sees it. The interval
     * counts from the end of a poll. */
    .timeout_ms = MAX (instances->interval_ms, 1000),
  };

  g_clear_pointer (&instances->timer, g_source_unref);
  gr_http_call (instances->http, &request, poll_done, instances);
  return G_SOURCE_REMOVE;
}

struct gr_instances *
gr_instances_create (const char *base_url,
                     uint32_t interval_ms,
                     void (*list_received) (const struct gr_instance *list,
                                            uint32_t count,
                                            void *context),
                     void (*poll_failed) (const struct gr_error *error,
                                          void *context),
                     void *context)
{
  struct gr_instances *instances = g_new0 (struct gr_instances, 1);

  instances->http = gr_http_create (2);
  instances->url =
      g_strconcat (base_url, g_str_has_suffix (base_url, "/") ? "" : "/",
                   "v1/instances", NULL);
  instances->interval_ms = interval_ms;
  instances->list_received = list_received;
  instances->poll_failed = poll_failed;
  instances->context = context;
  schedule_poll (instances, 0);
  return instances;
}

void
gr_instances_destroy (struct gr_instances *instances)
{
  if (instances == NULL)
    return;
  instances->destroyed = true;
  if (instances->timer != NULL)
    {
      g_source_destroy (instances->timer);
      g_source_unref (instances->timer);
    }
  gr_http_destroy (instances->http);
  g_free (instances->url);
  g_free (instances);
}
