#include "route/queue.h"

#define N_PRIORITIES (GR_PRIORITY_BATCH + 1)

struct queued
{
  int64_t latest_start_ms;
  uint64_t sequence; /* order of arrival */
  enum gr_priority priority;
  void *item;
};

struct gr_queue
{
  GSequence *lists[N_PRIORITIES][2]; /* second index: 0 short, 1 long */
  GHashTable *positions;             /* item to its GSequenceIter */
  uint32_t max_items;
  uint64_t next_sequence;
};

struct gr_queue *
gr_queue_create (uint32_t max_items)
{
  struct gr_queue *queue = g_new0 (struct gr_queue, 1);

  for (int i = 0; i < N_PRIORITIES; i++)
    for (int j = 0; j < 2; j++)
      queue->lists[i][j] = g_sequence_new (g_free);
  queue->positions = g_hash_table_new (NULL, NULL);
  queue->max_items = max_items;
  return queue;
}

void
gr_queue_destroy (struct gr_queue *queue)
{
  if (queue == NULL)
    return;
  for (int i = 0; i < N_PRIORITIES; i++)
    for (int j = 0; j < 2; j++)
      g_sequence_free (queue->lists[i][j]);
  g_hash_table_destroy (queue->positions);
  g_free (queue);
}

void
gr_queue_set_max (struct gr_queue *queue, uint32_t max_items)
{
  queue->max_items = max_items;
}

uint32_t
gr_queue_length (const struct gr_queue *queue)
{
  return g_hash_table_size (queue->positions);
}

static int
compare_queued (const void *a, const void *b, void *data)
{
  const struct queued *left = a;
  const struct queued *right = b;

  (void)data;
  if (left->latest_start_ms != right->latest_start_ms)
    return left->latest_start_ms < right->latest_start_ms ? -1 : 1;
  return left->sequence < right->sequence ? -1
                                          : left->sequence > right->sequence;
}

static struct queued *
first_in (GSequence *list)
{
  GSequenceIter *first = g_sequence_get_begin_iter (list);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static struct queued *
last_in (GSequence *list)
{
  GSequenceIter *end = g_sequence_get_end_iter (list);

  if (g_sequence_iter_is_begin (end))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (end));
}

static void *
remove_queued (struct gr_queue *queue, const struct queued *queued)
{
  void *item = queued->item;
  GSequenceIter *position = g_hash_table_lookup (queue->positions, item);

  g_hash_table_remove (queue->positions, item);
  g_sequence_remove (position);
  return item;
}

/* Returns the item to evict: of the lowest priority, the one with the latest
 * start time. */
static struct queued *
least_urgent (const struct gr_queue *queue)
{
  for (int i = N_PRIORITIES - 1; i >= 0; i--)
    {
      struct queued *a = last_in (queue->lists[i][0]);
      struct queued *b = last_in (queue->lists[i][1]);

      if (a == NULL || b == NULL)
        {
          if (a != NULL || b != NULL)
            return a != NULL ? a : b;
          continue;
        }
      return compare_queued (a, b, NULL) > 0 ? a : b;
    }
  return NULL;
}

void *
gr_queue_add (struct gr_queue *queue,
              enum gr_priority priority,
              bool is_long,
              int64_t latest_start_ms,
              void *item)
{
  void *evicted = NULL;
  struct queued *queued;

  if (gr_queue_length (queue) >= queue->max_items)
    {
      const struct queued *victim = least_urgent (queue);

      if (victim == NULL || victim->priority <= priority)
        return item;
      evicted = remove_queued (queue, victim);
    }
  queued = g_new0 (struct queued, 1);
  queued->latest_start_ms = latest_start_ms;
  queued->sequence = queue->next_sequence++;
  queued->priority = priority;
  queued->item = item;
  g_hash_table_insert (
      queue->positions, item,
      g_sequence_insert_sorted (queue->lists[priority][is_long ? 1 : 0], queued,
                                compare_queued, NULL));
  return evicted;
}

void *
gr_queue_pop (struct gr_queue *queue, bool allow_short, bool allow_long)
{
  for (int i = 0; i < N_PRIORITIES; i++)
    {
      struct queued *a = allow_short ? first_in (queue->lists[i][0]) : NULL;
      struct queued *b = allow_long ? first_in (queue->lists[i][1]) : NULL;

      if (a != NULL && (b == NULL || compare_queued (a, b, NULL) < 0))
        return remove_queued (queue, a);
      if (b != NULL)
        return remove_queued (queue, b);
    }
  return NULL;
}

void *
gr_queue_pop_expired (struct gr_queue *queue, int64_t now_ms)
{
  for (int i = 0; i < N_PRIORITIES; i++)
    for (int j = 0; j < 2; j++)
      {
        const struct queued *first = first_in (queue->lists[i][j]);

        if (first != NULL && first->latest_start_ms < now_ms)
          return remove_queued (queue, first);
      }
  return NULL;
}

bool
gr_queue_remove (struct gr_queue *queue, void *item)
{
  GSequenceIter *position = g_hash_table_lookup (queue->positions, item);

  if (position == NULL)
    return false;
  remove_queued (queue, g_sequence_get (position));
  return true;
}

uint32_t
gr_queue_count_ahead (const struct gr_queue *queue,
                      enum gr_priority priority,
                      bool is_long,
                      int64_t latest_start_ms)
{
  struct queued probe = { .latest_start_ms = latest_start_ms,
                          .sequence = queue->next_sequence };
  GSequence *list = queue->lists[priority][is_long ? 1 : 0];
  int ahead = g_sequence_iter_get_position (
      g_sequence_search (list, &probe, compare_queued, NULL));

  for (int i = 0; i < (int)priority; i++)
    ahead += g_sequence_get_length (queue->lists[i][is_long ? 1 : 0]);
  return (uint32_t)ahead;
}
