#include "entry/marks.h"

#include "common/log.h"

#include <string.h>

#define PREFIX "/geraniumrack/marks/"

/* A key that never exists. A transaction that compares it always takes its
 * else branch, whose gets read many keys in one call. */
#define ABSENT_KEY "/geraniumrack/never"

#define LEASE_TTL_S (25LL * 3600)
#define LEASE_REUSE_MS (3600LL * 1000)

/* Maximum number of transactions in flight. Several are allowed so that a
 * slow store delays marks without reducing the number of marks per second. */
#define MAX_IN_FLIGHT 8

/* Delay before an operation is retried: REQUEST_RETRY_MS while a request
 * waits for it, RETRY_MS otherwise. RETRY_MS is also the retry-after time of
 * refused requests. */
#define REQUEST_RETRY_MS 100
#define RETRY_MS 1000

/* Delay before the next attempt to get a lease; requests are refused
 * meanwhile. */
#define LEASE_RETRY_MS 200

enum operation
{
  OPERATION_CREATE,
  OPERATION_FINISH,
  OPERATION_REMOVE,
};

enum mark_state
{
  MARK_WAITING,   /* queued */
  MARK_IN_FLIGHT, /* part of a transaction in flight */
  MARK_WRITTEN,   /* durable; owned by the request */
};

struct gr_mark
{
  struct gr_marks *marks;
  char *key;
  char *value;   /* writer and a number, unique to this mark */
  char *outcome; /* for OPERATION_FINISH */
  enum operation operation;
  enum mark_state state;
  bool abandoned;
  bool outcome_unknown; /* a transaction was sent and its response was lost */
  int64_t next_attempt_ms;
  void (*done) (const struct gr_error *error, void *context);
  void *context;
};

struct gr_marks
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  char *writer;
  uint64_t next_number;
  uint32_t interval_ms;
  uint32_t timeout_ms;
  GQueue waiting;
  GHashTable *by_key;
  uint32_t in_flight;
  guint timer;
  int64_t lease;
  int64_t lease_until_ms;
  int64_t next_grant_ms;
  bool granting;
  bool stopping;
};

struct batch
{
  struct gr_marks *marks;
  GPtrArray *list;
  bool reading;
};

static void schedule (struct gr_marks *marks, uint32_t wait_ms);

static void
mark_free (struct gr_mark *mark)
{
  g_hash_table_remove (mark->marks->by_key, mark->key);
  g_free (mark->key);
  g_free (mark->value);
  g_free (mark->outcome);
  g_free (mark);
}

struct gr_marks *
gr_marks_create (struct gr_kv *kv,
                 const struct gr_clock *clock,
                 const char *writer,
                 uint32_t interval_ms,
                 uint32_t timeout_ms)
{
  struct gr_marks *marks = g_new0 (struct gr_marks, 1);

  marks->kv = kv;
  marks->clock = clock;
  marks->writer = g_strdup (writer);
  marks->interval_ms = interval_ms;
  marks->timeout_ms = timeout_ms;
  marks->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&marks->waiting);
  return marks;
}

/* Completes the creation of a mark: notifies the request unless it gave up,
 * and frees the mark on failure. */
static void
complete_create (struct gr_mark *mark, const struct gr_error *error)
{
  void (*done) (const struct gr_error *, void *) = mark->done;
  void *context = mark->context;
  bool abandoned = mark->abandoned;

  mark->done = NULL;
  if (error != NULL)
    mark_free (mark);
  else
    mark->state = MARK_WRITTEN;
  if (!abandoned)
    done (error, context);
}

void
gr_marks_destroy (struct gr_marks *marks)
{
  struct gr_error error = GR_ERROR_INIT;
  GList *all;

  if (marks == NULL)
    return;
  marks->stopping = true;
  g_clear_handle_id (&marks->timer, g_source_remove);
  gr_error_set (&error, GR_ERROR_CANCELLED, "this process is shutting down");
  all = g_hash_table_get_values (marks->by_key);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct gr_mark *mark = item->data;

      if (mark->operation == OPERATION_CREATE && mark->state != MARK_WRITTEN
          && !mark->abandoned)
        {
          mark->abandoned = true;
          mark->done (&error, mark->context);
        }
    }
  g_list_free (all);
  /* Transactions in flight reference their marks; their callbacks call this
   * function again when the store client is destroyed. */
  if (marks->in_flight > 0 || marks->granting)
    return;
  while ((all = g_hash_table_get_values (marks->by_key)) != NULL)
    {
      mark_free (all->data);
      g_list_free (all);
    }
  g_queue_clear (&marks->waiting);
  g_hash_table_destroy (marks->by_key);
  g_free (marks->writer);
  g_free (marks);
}

void
gr_marks_set_interval (struct gr_marks *marks, uint32_t interval_ms)
{
  marks->interval_ms = interval_ms;
}

uint32_t
gr_marks_pending (const struct gr_marks *marks)
{
  return g_queue_get_length ((GQueue *)&marks->waiting) + marks->in_flight;
}

static void
enqueue (struct gr_mark *mark, uint32_t wait_ms)
{
  struct gr_marks *marks = mark->marks;

  mark->state = MARK_WAITING;
  mark->next_attempt_ms = gr_clock_now_ms (marks->clock) + wait_ms;
  g_queue_push_tail (&marks->waiting, mark);
  schedule (marks, marks->interval_ms);
}

static void
lease_granted (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  struct gr_marks *marks = context;

  marks->granting = false;
  if (marks->stopping)
    {
      gr_marks_destroy (marks);
      return;
    }
  if (error == NULL)
    {
      marks->lease = result->lease;
      marks->lease_until_ms = gr_clock_now_ms (marks->clock) + LEASE_REUSE_MS;
    }
  else
    {
      gr_log_warning ("mark-lease-failed", "message", error->message, NULL);
      marks->next_grant_ms = gr_clock_now_ms (marks->clock) + LEASE_RETRY_MS;
    }
  schedule (marks, 0);
}

static void
ensure_lease (struct gr_marks *marks)
{
  int64_t now_ms = gr_clock_now_ms (marks->clock);

  if (marks->granting || now_ms < marks->next_grant_ms
      || (marks->lease != 0 && now_ms < marks->lease_until_ms))
    return;
  marks->granting = true;
  gr_kv_lease_grant (marks->kv, "marks", LEASE_TTL_S, marks->timeout_ms,
                     lease_granted, marks);
}

static struct gr_kv_txn *
build_transaction (struct gr_marks *marks, GPtrArray *list)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  for (guint i = 0; i < list->len; i++)
    {
      const struct gr_mark *mark = list->pdata[i];
      size_t size = strlen (mark->value);

      if (mark->operation == OPERATION_CREATE)
        {
          gr_kv_txn_if_created_at (txn, mark->key, 0);
          gr_kv_txn_put (txn, mark->key, mark->value, size, marks->lease);
        }
      else if (mark->operation == OPERATION_REMOVE)
        {
          gr_kv_txn_if_value (txn, mark->key, mark->value, size);
          gr_kv_txn_delete (txn, mark->key);
        }
      else
        {
          char *value = g_strconcat (mark->value, " ", mark->outcome, NULL);

          gr_kv_txn_put (txn, mark->key, value, strlen (value), marks->lease);
          g_free (value);
        }
      gr_kv_txn_else_get (txn, mark->key);
    }
  return txn;
}

static const struct gr_kv_entry *
find_entry (const struct gr_kv_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_entries; i++)
    if (strcmp (result->entries[i].key, key) == 0)
      return &result->entries[i];
  return NULL;
}

static void
mark_written (struct gr_mark *mark)
{
  mark->outcome_unknown = false;
  if (mark->operation != OPERATION_CREATE)
    mark_free (mark);
  else if (mark->abandoned)
    {
      mark->operation = OPERATION_REMOVE;
      enqueue (mark, 0);
    }
  else
    complete_create (mark, NULL);
}

/* Determines the state of a mark from the value that the store holds for its
 * key; entry is NULL if there is none. */
static void
resolve_from_store (struct gr_mark *mark, const struct gr_kv_entry *entry)
{
  struct gr_error error = GR_ERROR_INIT;
  size_t writer_size = strlen (mark->value);
  bool is_own = entry != NULL
                && strncmp (entry->value, mark->value, writer_size) == 0
                && (entry->value[writer_size] == '\0'
                    || entry->value[writer_size] == ' ');

  if (mark->operation == OPERATION_CREATE)
    {
      if (is_own)
        mark_written (mark);
      else if (entry == NULL && mark->abandoned)
        mark_free (mark);
      else if (entry == NULL)
        enqueue (mark, 0);
      else if (strchr (entry->value, ' ') != NULL)
        {
          gr_error_set (&error, GR_ERROR_DUPLICATE,
                        "a request with this key has already ended: %s",
                        strchr (entry->value, ' ') + 1);
          complete_create (mark, &error);
        }
      else
        {
          gr_error_set (&error, GR_ERROR_MAY_HAVE_RUN,
                        "an earlier request with this key may have run");
          complete_create (mark, &error);
        }
      return;
    }
  if (is_own
      && (mark->operation == OPERATION_REMOVE
          || entry->value[writer_size] == '\0'))
    enqueue (mark, 0);
  else
    mark_free (mark);
}

/* The transaction is known not to have been applied. */
static void
handle_not_written (struct gr_mark *mark, const struct gr_error *error)
{
  struct gr_error reported = *error;

  if (mark->operation != OPERATION_CREATE)
    {
      enqueue (mark, RETRY_MS);
      return;
    }
  if (mark->outcome_unknown)
    {
      /* An earlier transaction with this mark may have been applied. */
      enqueue (mark, mark->abandoned ? RETRY_MS : REQUEST_RETRY_MS);
      return;
    }
  reported.kind = GR_ERROR_STORE_UNAVAILABLE;
  if (reported.retry_after_ms == 0)
    reported.retry_after_ms = RETRY_MS;
  complete_create (mark, &reported);
}

static bool
was_not_applied (const struct gr_error *error)
{
  return error->kind == GR_ERROR_STORE_UNAVAILABLE
         || error->kind == GR_ERROR_BAD_REQUEST
         || error->kind == GR_ERROR_NOT_FOUND
         || error->kind == GR_ERROR_FORBIDDEN;
}

/* Returns true if the request of the mark ended without being sent. */
static bool
was_never_sent (const struct gr_mark *mark)
{
  return mark->abandoned || mark->operation == OPERATION_REMOVE;
}

static void
batch_failed (struct batch *batch, const struct gr_error *error)
{
  struct gr_marks *marks = batch->marks;

  if (error->kind == GR_ERROR_NOT_FOUND || error->kind == GR_ERROR_BAD_REQUEST)
    marks->lease = 0; /* the store no longer has the lease */
  for (guint i = 0; i < batch->list->len; i++)
    {
      struct gr_mark *mark = batch->list->pdata[i];

      if (was_not_applied (error) && !batch->reading)
        {
          handle_not_written (mark, error);
          continue;
        }
      mark->outcome_unknown = true;
      enqueue (mark, was_never_sent (mark) ? RETRY_MS : REQUEST_RETRY_MS);
    }
}

static void
batch_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct batch *batch = context;
  struct gr_marks *marks = batch->marks;

  marks->in_flight--;
  if (marks->stopping)
    {
      for (guint i = 0; i < batch->list->len; i++)
        ((struct gr_mark *)batch->list->pdata[i])->state = MARK_WAITING;
      gr_marks_destroy (marks);
    }
  else if (error != NULL)
    batch_failed (batch, error);
  else
    for (guint i = 0; i < batch->list->len; i++)
      {
        struct gr_mark *mark = batch->list->pdata[i];

        if (!batch->reading && result->succeeded)
          mark_written (mark);
        else
          {
            mark->outcome_unknown = false;
            resolve_from_store (mark, find_entry (result, mark->key));
          }
      }
  g_ptr_array_unref (batch->list);
  g_free (batch);
}

/* Takes a batch of marks from the queue for one transaction. With reading
 * set, takes those with unknown outcome, to be read back; otherwise the
 * others, to be written. */
static GPtrArray *
take_batch (struct gr_marks *marks, bool reading)
{
  GPtrArray *list = g_ptr_array_new ();
  int64_t now_ms = gr_clock_now_ms (marks->clock);
  guint count = g_queue_get_length (&marks->waiting);

  for (guint i = 0; i < count; i++)
    {
      struct gr_mark *mark = g_queue_pop_head (&marks->waiting);

      if (mark->outcome_unknown != reading || mark->next_attempt_ms > now_ms
          || list->len >= GR_MARKS_MAX_BATCH)
        {
          g_queue_push_tail (&marks->waiting, mark);
          continue;
        }
      mark->state = MARK_IN_FLIGHT;
      g_ptr_array_add (list, mark);
    }
  return list;
}

static void
send_batch (struct gr_marks *marks, bool reading)
{
  GPtrArray *list = take_batch (marks, reading);
  struct batch *batch;
  struct gr_kv_txn *txn;

  if (list->len == 0)
    {
      g_ptr_array_unref (list);
      return;
    }
  batch = g_new0 (struct batch, 1);
  batch->marks = marks;
  batch->list = list;
  batch->reading = reading;
  txn = reading ? gr_kv_txn_create () : build_transaction (marks, list);
  if (reading)
    {
      gr_kv_txn_if_value (txn, ABSENT_KEY, "x", 1);
      for (guint i = 0; i < list->len; i++)
        gr_kv_txn_else_get (txn, ((struct gr_mark *)list->pdata[i])->key);
    }
  marks->in_flight++;
  gr_kv_commit (marks->kv, reading ? "marks-read" : "marks", txn,
                marks->timeout_ms, batch_done, batch);
}

/* Without a lease no mark can be written; refuses the requests instead of
 * holding them. */
static void
refuse_without_lease (struct gr_marks *marks)
{
  struct gr_error error = GR_ERROR_INIT;
  guint count = g_queue_get_length (&marks->waiting);

  gr_error_set_retry (&error, GR_ERROR_STORE_UNAVAILABLE, RETRY_MS,
                      "the key-value service did not grant a lease");
  for (guint i = 0; i < count; i++)
    {
      struct gr_mark *mark = g_queue_pop_head (&marks->waiting);

      if (mark->operation == OPERATION_CREATE && !mark->outcome_unknown)
        complete_create (mark, &error);
      else
        g_queue_push_tail (&marks->waiting, mark);
    }
}

static gboolean
on_timer (gpointer data)
{
  struct gr_marks *marks = data;

  marks->timer = 0;
  ensure_lease (marks);
  if (marks->lease == 0 && !marks->granting)
    refuse_without_lease (marks);
  if (marks->in_flight < MAX_IN_FLIGHT)
    send_batch (marks, true);
  if (marks->in_flight < MAX_IN_FLIGHT && marks->lease != 0)
    send_batch (marks, false);
  if (!g_queue_is_empty (&marks->waiting))
    schedule (marks, marks->interval_ms);
  return G_SOURCE_REMOVE;
}

static void
schedule (struct gr_marks *marks, uint32_t wait_ms)
{
  if (marks->timer == 0 && !marks->stopping)
    marks->timer = g_timeout_add (wait_ms, on_timer, marks);
}

struct gr_mark *
gr_mark_write (struct gr_marks *marks,
               const char *account,
               const char *key,
               void (*done) (const struct gr_error *error, void *context),
               void *context,
               struct gr_error *error)
{
  char *path = g_strconcat (PREFIX, account, "/", key, NULL);
  struct gr_mark *mark = g_hash_table_lookup (marks->by_key, path);

  if (mark != NULL)
    {
      g_free (path);
      if (was_never_sent (mark))
        gr_error_set_retry (error, GR_ERROR_STORE_UNAVAILABLE, RETRY_MS,
                            "an earlier mark of this key is being removed");
      else
        gr_error_set (error, GR_ERROR_MAY_HAVE_RUN,
                      "a request with this key is in progress");
      return NULL;
    }
  if (g_queue_get_length (&marks->waiting) >= GR_MARKS_MAX_QUEUED)
    {
      g_free (path);
      gr_error_set_retry (
          error, GR_ERROR_STORE_UNAVAILABLE, RETRY_MS,
          "too many marks are waiting for the key-value service");
      return NULL;
    }
  mark = g_new0 (struct gr_mark, 1);
  mark->marks = marks;
  mark->key = path;
  mark->value = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, marks->writer,
                                 (guint64)marks->next_number++);
  mark->done = done;
  mark->context = context;
  g_hash_table_insert (marks->by_key, mark->key, mark);
  enqueue (mark, 0);
  return mark;
}

void
gr_mark_abandon (struct gr_mark *mark)
{
  mark->abandoned = true;
  if (mark->state != MARK_WAITING || mark->outcome_unknown)
    return;
  g_queue_remove (&mark->marks->waiting, mark);
  mark_free (mark);
}

void
gr_mark_remove (struct gr_mark *mark)
{
  mark->operation = OPERATION_REMOVE;
  enqueue (mark, 0);
}

void
gr_mark_finish (struct gr_mark *mark, const char *outcome)
{
  mark->operation = OPERATION_FINISH;
  mark->outcome = g_strdup (outcome);
  enqueue (mark, 0);
}

void
gr_mark_keep (struct gr_mark *mark)
{
  mark_free (mark);
}
