#include "instance/config-view.h"

#include "common/log.h"

/* A watch returns after this time even without a change, which confirms that
 * the configuration is current; its age grows by as much in between. It also
 * bounds how long a dead connection stays undetected. */
#define WATCH_WAIT_MS 1000
#define WATCH_TIMEOUT_MS 1700
#define READ_TIMEOUT_MS 1200
#define RETRY_MS 200

struct gr_config_view
{
  struct gr_metastore *store;
  const struct gr_clock *clock;
  struct gr_cluster_config *config;
  GHashTable *waves; /* number -> struct gr_wave_spec */
  int64_t watched_revision;
  int64_t current_ms;
  int64_t sent_ms; /* when the call in flight was sent */
  guint timer;
  int64_t store_up_since_ms;
  bool needs_full_read;
  bool last_call_failed;
  void (*changed) (void *context);
  void *context;
};

static void send_request (struct gr_config_view *view);

static gboolean
on_timer (gpointer data)
{
  struct gr_config_view *view = data;

  view->timer = 0;
  send_request (view);
  return G_SOURCE_REMOVE;
}

void
gr_config_view_confirm (struct gr_config_view *view, int64_t current_ms)
{
  view->current_ms = MAX (view->current_ms, current_ms);
}

static void
apply_wave (struct gr_config_view *view, const struct gr_metastore_item *item)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_wave_spec *wave;

  if (item->deleted)
    return;
  wave = gr_wave_decode (item->value, &error);
  if (wave == NULL)
    {
      gr_log_warning ("wave-unreadable", "key", item->key, "reason",
                      error.message, NULL);
      return;
    }
  g_hash_table_replace (view->waves, &wave->number, wave);
  view->changed (view->context);
}

void
gr_config_view_each_wave (const struct gr_config_view *view,
                          void (*visit) (const struct gr_wave_spec *wave,
                                         void *context),
                          void *context)
{
  GHashTableIter iter;
  void *wave;

  g_hash_table_iter_init (&iter, view->waves);
  while (g_hash_table_iter_next (&iter, NULL, &wave))
    visit (wave, context);
}

void
gr_config_view_apply (struct gr_config_view *view,
                      const struct gr_metastore_item *item,
                      int64_t current_ms)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config;
  char version[24];

  if (gr_key_is_wave (item->key))
    {
      apply_wave (view, item);
      return;
    }
  if (!g_str_equal (item->key, gr_cluster_config_key) || item->deleted)
    return;
  if (view->config != NULL && item->revision <= view->config->revision)
    {
      if (item->revision == view->config->revision)
        gr_config_view_confirm (view, current_ms);
      return;
    }
  config = gr_cluster_config_decode (item->value, item->revision, &error);
  if (config == NULL)
    {
      gr_log_warning ("config-unreadable", "reason", error.message, NULL);
      return;
    }
  gr_cluster_config_destroy (view->config);
  view->config = config;
  gr_config_view_confirm (view, current_ms);
  g_snprintf (version, sizeof version, "%" G_GINT64_FORMAT, config->version);
  gr_log_event ("config-applied", "version", version, NULL);
  view->changed (view->context);
}

static void
update_store_state (struct gr_config_view *view, const struct gr_error *error)
{
  if (error != NULL && !view->last_call_failed)
    gr_log_warning ("store-lost", "reason", error->message, NULL);
  if (error == NULL && view->last_call_failed)
    gr_log_event ("store-regained", NULL);
  view->last_call_failed = error != NULL;
  if (error != NULL)
    view->store_up_since_ms = INT64_MAX;
  else if (view->store_up_since_ms == INT64_MAX)
    view->store_up_since_ms = gr_clock_now_ms (view->clock);
}

static void
request_done (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_config_view *view = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  update_store_state (view, error);
  if (error != NULL)
    {
      /* Changes may have been missed, so everything is read again. */
      view->needs_full_read = true;
      view->timer = g_timeout_add (RETRY_MS, on_timer, view);
      return;
    }
  for (size_t i = 0; i < result->n_items; i++)
    gr_config_view_apply (view, &result->items[i], view->sent_ms);
  if (view->config != NULL)
    gr_config_view_confirm (view, view->sent_ms);
  view->watched_revision = MAX (view->watched_revision, result->as_of);
  view->needs_full_read = view->config == NULL;
  view->timer =
      g_timeout_add (view->needs_full_read ? RETRY_MS : 0, on_timer, view);
}

static void
send_request (struct gr_config_view *view)
{
  struct gr_metastore_reply reply = { request_done, view };

  view->sent_ms = gr_clock_now_ms (view->clock);
  if (view->needs_full_read)
    gr_metastore_range (view->store, gr_operator_prefix, NULL, false,
                        READ_TIMEOUT_MS, reply);
  else
    gr_metastore_watch (view->store, gr_operator_prefix, view->watched_revision,
                        WATCH_WAIT_MS, WATCH_TIMEOUT_MS, reply);
}

struct gr_config_view *
gr_config_view_create (struct gr_metastore *store,
                       const struct gr_clock *clock,
                       void (*changed) (void *context),
                       void *context)
{
  struct gr_config_view *view = g_new0 (struct gr_config_view, 1);

  view->store = store;
  view->clock = clock;
  view->changed = changed;
  view->context = context;
  view->waves = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)gr_wave_spec_destroy);
  view->store_up_since_ms = INT64_MAX;
  view->needs_full_read = true;
  send_request (view);
  return view;
}

void
gr_config_view_destroy (struct gr_config_view *view)
{
  if (view == NULL)
    return;
  if (view->timer != 0)
    g_source_remove (view->timer);
  gr_cluster_config_destroy (view->config);
  g_hash_table_destroy (view->waves);
  g_free (view);
}

const struct gr_cluster_config *
gr_config_view_get (const struct gr_config_view *view)
{
  return view->config;
}

int64_t
gr_config_view_current_ms (const struct gr_config_view *view)
{
  return view->current_ms;
}

int64_t
gr_config_view_store_up_since_ms (const struct gr_config_view *view)
{
  return view->store_up_since_ms;
}
