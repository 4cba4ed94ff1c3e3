#include "standins/advice.h"

#include "http/json.h"

#include <string.h>

#define MAX_WAITING_CALLS 32

struct gr_standin_advice
{
  struct gr_standin *base;
  struct gr_standin_advice_settings settings;
  GQueue calls; /* struct gr_standin_call; the first one is being handled */
  guint timer;
  int64_t answered;
  int64_t rejected;
};

static void handle_first (struct gr_standin_advice *advice);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static JsonArray *
named_workers (const struct gr_standin_call *call)
{
  JsonArray *workers = NULL;

  if (call->body == NULL
      || !gr_json_get_array (call->body, "workers", &workers))
    return NULL;
  return workers;
}

/* The policy does not change, so it is a function of the names. */
static bool
is_allowed (const struct gr_standin_advice *advice,
            const char *step,
            const char *worker)
{
  g_autofree char *both = g_strconcat (step, worker, NULL);

  return g_str_hash (both) % 100 < advice->settings.allowed_percent;
}

static JsonObject *
create_answer (const struct gr_standin_advice *advice,
               const struct gr_standin_call *call)
{
  JsonArray *workers = named_workers (call);
  const char *step = gr_json_peek_string (call->body, "step");
  JsonObject *body = json_object_new ();
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < json_array_get_length (workers); i++)
    {
      const char *worker = json_array_get_string_element (workers, i);
      g_autofree char *ticket =
          g_strdup_printf ("%s@%s@%" G_GINT64_FORMAT, step, worker,
                           now_ms () + advice->settings.valid_ms);
      JsonArray *row;

      if (!is_allowed (advice, step, worker))
        continue;
      row = json_array_new ();
      json_array_add_string_element (row, worker);
      json_array_add_string_element (row, ticket);
      json_array_add_array_element (rows, row);
    }
  json_object_set_array_member (body, "good", rows);
  json_object_set_int_member (body, "valid-ms", advice->settings.valid_ms);
  return body;
}

static gboolean
answer_first (gpointer data)
{
  struct gr_standin_advice *advice = data;
  struct gr_standin_call *call = g_queue_pop_head (&advice->calls);

  advice->timer = 0;
  advice->answered++;
  gr_standin_reply (call, 200, create_answer (advice, call));
  handle_first (advice);
  return G_SOURCE_REMOVE;
}

static void
handle_first (struct gr_standin_advice *advice)
{
  struct gr_standin_call *call = g_queue_peek_head (&advice->calls);

  if (call == NULL || advice->timer != 0)
    return;
  advice->timer = g_timeout_add (
      (guint)(advice->settings.decide_ms
              + advice->settings.each_ms
                    * json_array_get_length (named_workers (call))),
      answer_first, advice);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_standin_advice *advice = context;

  if (!g_str_equal (call->path, "/v1/advise") || named_workers (call) == NULL
      || gr_json_peek_string (call->body, "step") == NULL)
    gr_standin_reply (call, 400, NULL);
  else if (g_queue_get_length (&advice->calls) > MAX_WAITING_CALLS)
    {
      advice->rejected++;
      gr_standin_reply (call, 429, NULL);
    }
  else
    {
      g_queue_push_tail (&advice->calls, call);
      handle_first (advice);
    }
}

static void
describe (JsonObject *answer, void *context)
{
  struct gr_standin_advice *advice = context;

  json_object_set_int_member (answer, "answered", advice->answered);
  json_object_set_int_member (answer, "rejected", advice->rejected);
  json_object_set_int_member (answer, "waiting",
                              g_queue_get_length (&advice->calls));
}

static bool
control (JsonObject *body, void *context)
{
  struct gr_standin_advice *advice = context;
  struct gr_standin_advice_settings *settings = &advice->settings;

  return gr_json_get_int (body, "decide_ms", 0, INT32_MAX, settings->decide_ms,
                          &settings->decide_ms)
         && gr_json_get_int (body, "each_ms", 0, INT32_MAX, settings->each_ms,
                             &settings->each_ms)
         && gr_json_get_int (body, "valid_ms", 0, INT32_MAX, settings->valid_ms,
                             &settings->valid_ms)
         && gr_json_get_int (body, "allowed_percent", 0, 100,
                             settings->allowed_percent,
                             &settings->allowed_percent);
}

static const struct gr_standin_ops ops = { NULL, apply, describe, control };

struct gr_standin_advice *
gr_standin_advice_create (const char *listen,
                          const struct gr_standin_advice_settings *settings,
                          struct gr_error *error)
{
  struct gr_standin_advice *advice = g_new0 (struct gr_standin_advice, 1);

  advice->settings = *settings;
  g_queue_init (&advice->calls);
  advice->base = gr_standin_create (listen, &ops, advice, error);
  if (advice->base != NULL)
    return advice;
  g_free (advice);
  return NULL;
}

void
gr_standin_advice_destroy (struct gr_standin_advice *advice)
{
  if (advice == NULL)
    return;
  if (advice->timer != 0)
    g_source_remove (advice->timer);
  g_queue_clear (&advice->calls);
  gr_standin_destroy (advice->base);
  g_free (advice);
}

struct gr_standin *
gr_standin_advice_base (struct gr_standin_advice *advice)
{
  return advice->base;
}

bool
gr_standin_ticket_is_valid (const char *ticket,
                            const char *task,
                            const char *worker)
{
  g_auto (GStrv) parts = g_strsplit (ticket ? ticket : "", "@", 3);

  return g_strv_length (parts) == 3 && g_str_has_prefix (task, parts[0])
         && task[strlen (parts[0])] == '.' && g_str_equal (parts[1], worker)
         && now_ms () <= g_ascii_strtoll (parts[2], NULL, 10);
}
