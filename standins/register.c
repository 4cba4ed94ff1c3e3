#include "standins/register.h"

#include "http/json.h"

#define RETRY_INTERVAL_MS 500
#define PUT_TIMEOUT_MS 2000

struct gr_registration
{
  struct gr_http *http;
  char *url;
  char *role;
  char *data_centre;
  char *address;
  bool leaving;
  bool destroyed;
  GSource *timer;
};

static void put_instance (struct gr_registration *registration);

static gboolean
retry (gpointer data)
{
  struct gr_registration *registration = data;

  g_clear_pointer (&registration->timer, g_source_unref);
  put_instance (registration);
  return G_SOURCE_REMOVE;
}

static void
put_done (const struct gr_http_response *answer,
          const struct gr_error *error,
          void *context)
{
  struct gr_registration *registration = context;

  if (registration->destroyed || (error == NULL && answer->status == 200)
      || registration->timer != NULL)
    return;
  registration->timer = g_timeout_source_new (RETRY_INTERVAL_MS);
  g_source_set_callback (registration->timer, retry, registration, NULL);
  g_source_attach (registration->timer, NULL);
}

static void
put_instance (struct gr_registration *registration)
{
  JsonObject *body = json_object_new ();
  struct gr_http_request request = {
    .method = "PUT",
    .url = registration->url,
    .content_type = "application/json",
    .may_resend = true,
    .timeout_ms = PUT_TIMEOUT_MS,
  };

  json_object_set_string_member (body, "role", registration->role);
  json_object_set_string_member (body, "data_centre",
                                 registration->data_centre);
  json_object_set_string_member (body, "address", registration->address);
  json_object_set_boolean_member (body, "leaving", registration->leaving);
  request.body = gr_json_to_bytes (body);
  gr_http_call (registration->http, &request, put_done, registration);
  g_bytes_unref (request.body);
}

struct gr_registration *
gr_registration_create (const char *list_url,
                        const char *name,
                        const char *role,
                        const char *data_centre,
                        const char *address)
{
  struct gr_registration *registration;

  if (list_url == NULL)
    return NULL;
  registration = g_new0 (struct gr_registration, 1);
  registration->http = gr_http_create (1);
  registration->url =
      g_strdup_printf ("%s%sv1/instances/%s", list_url,
                       g_str_has_suffix (list_url, "/") ? "" : "/", name);
  registration->role = g_strdup (role);
  registration->data_centre = g_strdup (data_centre);
  registration->address = g_strdup (address);
  put_instance (registration);
  return registration;
}

void
gr_registration_destroy (struct gr_registration *registration)
{
  if (registration == NULL)
    return;
  registration->destroyed = true;
  if (registration->timer != NULL)
    {
      g_source_destroy (registration->timer);
      g_source_unref (registration->timer);
    }
  gr_http_destroy (registration->http);
  g_free (registration->url);
  g_free (registration->role);
  g_free (registration->data_centre);
  g_free (registration->address);
  g_free (registration);
}

void
gr_registration_set_leaving (struct gr_registration *registration, bool leaving)
{
  if (registration == NULL)
    return;
  registration->leaving = leaving;
  put_instance (registration);
}
