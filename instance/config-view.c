#include "instance/config-view.h"

#include "common/log.h"
#include "platform/evacuation.h"

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
  struct gr_evacuations *evacuations;
  bool evacuations_changed; /* and the change has not been passed on */
  int64_t evacuations_current_ms;
  /* A full read and a watch can be in flight at the same time. */
  bool reading;
  bool read_again;      /* another read starts after the one in flight */
  int64_t read_as_of;   /* of its first page; 0: it is not there yet */
  int64_t read_sent_ms; /* when its first page was requested */
  int64_t page_sent_ms; /* when its last page was requested */
  bool watching;
  int64_t watch_sent_ms;
  int64_t failed_sent_ms; /* when the last call that failed was sent */
  guint timer;
  int64_t store_up_since_ms;
  bool needs_full_read;
  bool last_call_failed;
  void (*changed) (void *context);
  void *context;
};

static void send_request (struct gr_config_view *view);
static void read_page (struct gr_config_view *view, const char *after);

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

/* Jobs of such a queue do not fail, unless an earlier version has a limit. */
static void
log_missing_limits (const struct gr_cluster_config *config)
{
  for (size_t i = 0; i < config->n_queues; i++)
    if (config->queues[i].max_attempts == 0)
      gr_log_warning ("queue-without-max-attempts", "queue",
                      config->queues[i].name, NULL);
}

static void
apply_item (struct gr_config_view *view,
            const struct gr_metastore_item *item,
            int64_t current_ms)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config;
  const char *data_centre = gr_evacuation_key_data_centre (item->key);
  char version[24];

  if (data_centre != NULL)
    {
      view->evacuations_changed |=
          gr_evacuations_apply (view->evacuations, data_centre, item->deleted,
                                item->revision, gr_clock_now_ms (view->clock));
      return;
    }
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
  log_missing_limits (config);
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

/* Passes on changes of the evacuations once all items of a response are
 * applied. */
static void
notify_evacuations (struct gr_config_view *view)
{
  if (!view->evacuations_changed)
    return;
  view->evacuations_changed = false;
  view->changed (view->context);
}

void
gr_config_view_apply (struct gr_config_view *view,
                      const struct gr_metastore_item *item,
                      int64_t current_ms)
{
  apply_item (view, item, current_ms);
  notify_evacuations (view);
}

static void
apply_items (struct gr_config_view *view,
             const struct gr_metastore_result *result,
             int64_t current_ms)
{
  for (size_t i = 0; i < result->n_items; i++)
    apply_item (view, &result->items[i], current_ms);
}

/* All items are known as of a call that was sent at this time. */
static void
confirm_all (struct gr_config_view *view, int64_t sent_ms)
{
  if (view->config != NULL)
    gr_config_view_confirm (view, sent_ms);
  view->evacuations_current_ms = MAX (view->evacuations_current_ms, sent_ms);
}

static void
schedule (struct gr_config_view *view, uint32_t delay_ms)
{
  if (view->timer == 0)
    view->timer = g_timeout_add (delay_ms, on_timer, view);
}

/* Changes may have been missed, so everything is read again. */
static void
call_failed (struct gr_config_view *view, int64_t sent_ms)
{
  view->failed_sent_ms = sent_ms;
  view->needs_full_read = true;
  schedule (view, RETRY_MS);
}

static void
read_complete (struct gr_config_view *view)
{
  view->evacuations_changed |=
      gr_evacuations_end_read (view->evacuations, view->read_as_of);
  confirm_all (view, view->read_sent_ms);
  view->watched_revision = MAX (view->watched_revision, view->read_as_of);
  view->needs_full_read = view->config == NULL || view->read_again;
  view->read_again = false;
  schedule (view, view->config == NULL ? RETRY_MS : 0);
  notify_evacuations (view);
}

static void
page_done (const struct gr_metastore_result *result,
           const struct gr_error *error,
           void *context)
{
  struct gr_config_view *view = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  update_store_state (view, error);
  if (error != NULL)
    {
      view->reading = false;
      view->read_again = false;
      call_failed (view, view->page_sent_ms);
      return;
    }
  /* Changes after the first page are returned by the watch that follows. */
  if (view->read_as_of == 0)
    view->read_as_of = result->as_of;
  apply_items (view, result, view->read_sent_ms);
  if (result->truncated)
    {
      read_page (view, result->items[result->n_items - 1].key);
      return;
    }
  view->reading = false;
  read_complete (view);
}

static void
read_page (struct gr_config_view *view, const char *after)
{
  struct gr_metastore_reply reply = { page_done, view };

  view->page_sent_ms = gr_clock_now_ms (view->clock);
  gr_metastore_range (view->store, gr_operator_prefix, after, false,
                      READ_TIMEOUT_MS, reply);
}

static void
start_read (struct gr_config_view *view)
{
  view->reading = true;
  view->read_as_of = 0;
  view->read_sent_ms = gr_clock_now_ms (view->clock);
  gr_evacuations_begin_read (view->evacuations);
  read_page (view, NULL);
}

void
gr_config_view_refresh (struct gr_config_view *view)
{
  if (view->reading)
    view->read_again = true;
  else
    start_read (view);
}

static void
watch_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_config_view *view = context;
  int64_t current_ms;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  view->watching = false;
  update_store_state (view, error);
  if (error != NULL)
    {
      call_failed (view, view->watch_sent_ms);
      return;
    }
  /* A truncated watch may leave out a newer configuration that the store had
   * when the watch was sent. */
  current_ms = result->truncated ? 0 : view->watch_sent_ms;
  apply_items (view, result, current_ms);
  /* A read beside this watch may cover later revisions. The next watch would
   * then not return the deletion of an item that was applied here. */
  if (result->n_items > 0 && view->reading)
    view->read_again = true;
  else if (result->n_items > 0 && result->as_of < view->watched_revision)
    view->needs_full_read = true;
  confirm_all (view, current_ms);
  view->watched_revision = MAX (view->watched_revision, result->as_of);
  schedule (view, 0);
  notify_evacuations (view);
}

static void
send_request (struct gr_config_view *view)
{
  struct gr_metastore_reply reply = { watch_done, view };

  /* What is in flight schedules the next request when it ends. */
  if (view->reading || (view->watching && !view->needs_full_read))
    return;
  if (view->needs_full_read)
    {
      start_read (view);
      return;
    }
  view->watching = true;
  view->watch_sent_ms = gr_clock_now_ms (view->clock);
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
  view->evacuations = gr_evacuations_create ();
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
  gr_evacuations_destroy (view->evacuations);
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

const struct gr_evacuations *
gr_config_view_evacuations (const struct gr_config_view *view)
{
  return view->evacuations;
}

int64_t
gr_config_view_evacuations_current_ms (const struct gr_config_view *view)
{
  return view->evacuations_current_ms;
}

bool
gr_config_view_store_failed_since (const struct gr_config_view *view,
                                   int64_t since_ms)
{
  return view->last_call_failed && view->failed_sent_ms >= since_ms;
}
