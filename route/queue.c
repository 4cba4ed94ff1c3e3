#include "route/queue.h"

#define N_PRIORITIES (GR_PRIORITY_BATCH + 1)

struct waiting
{
  int64_t latest_start_ms;
  uint64_t number; /* order of arrival */
  enum gr_priority priority;
  void *item;
};

struct gr_queue
{
  GSequence *lanes[N_PRIORITIES][2]; /* short, long */
  GHashTable *places;                /* item to its GSequenceIter */
  uint32_t max_items;
  uint64_t next_number;
};

struct gr_queue *
gr_queue_create (uint32_t max_items)
{
  struct gr_queue *queue = g_new0 (struct gr_queue, 1);

  for (int i = 0; i < N_PRIORITIES; i++)
    for (int j = 0; j < 2; j++)
      queue->lanes[i][j] = g_sequence_new (g_free);
  queue->places = g_hash_table_new (NULL, NULL);
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
      g_sequence_free (queue->lanes[i][j]);
  g_hash_table_destroy (queue->places);
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
  return g_hash_table_size (queue->places);
}

static int
compare_waiting (const void *a, const void *b, void *data)
{
  const struct waiting *left = a;
  const struct waiting *right = b;

  (void)data;
  if (left->latest_start_ms != right->latest_start_ms)
    return left->latest_start_ms < right->latest_start_ms ? -1 : 1;
  return left->number < right->number ? -1 : left->number > right->number;
}

static struct waiting *
first_of (GSequence *lane)
{
  GSequenceIter *first = g_sequence_get_begin_iter (lane);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static struct waiting *
last_of (GSequence *lane)
{
  GSequenceIter *end = g_sequence_get_end_iter (lane);

  if (g_sequence_iter_is_begin (end))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (end));
}

static void *
take_out (struct gr_queue *queue, const struct waiting *waiting)
{
  void *item = waiting->item;
  GSequenceIter *place = g_hash_table_lookup (queue->places, item);

  g_hash_table_remove (queue->places, item);
  g_sequence_remove (place);
  return item;
}

/* The item that can best go: the lowest priority, then the most time left. */
static struct waiting *
least_urgent (const struct gr_queue *queue)
{
  for (int i = N_PRIORITIES - 1; i >= 0; i--)
    {
      struct waiting *a = last_of (queue->lanes[i][0]);
      struct waiting *b = last_of (queue->lanes[i][1]);

      if (a == NULL || b == NULL)
        {
          if (a != NULL || b != NULL)
            return a != NULL ? a : b;
          continue;
        }
      return compare_waiting (a, b, NULL) > 0 ? a : b;
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
  struct waiting *waiting;

  if (gr_queue_length (queue) >= queue->max_items)
    {
      const struct waiting *victim = least_urgent (queue);

      if (victim == NULL || victim->priority <= priority)
        return item;
      evicted = take_out (queue, victim);
    }
  waiting = g_new0 (struct waiting, 1);
  waiting->latest_start_ms = latest_start_ms;
  waiting->number = queue->next_number++;
  waiting->priority = priority;
  waiting->item = item;
  g_hash_table_insert (
      queue->places, item,
      g_sequence_insert_sorted (queue->lanes[priority][is_long ? 1 : 0],
                                waiting, compare_waiting, NULL));
  return evicted;
}

void *
gr_queue_take (struct gr_queue *queue, bool allow_short, bool allow_long)
{
  for (int i = 0; i < N_PRIORITIES; i++)
    {
      struct waiting *a = allow_short ? first_of (queue->lanes[i][0]) : NULL;
      struct waiting *b = allow_long ? first_of (queue->lanes[i][1]) : NULL;

      if (a != NULL && (b == NULL || compare_waiting (a, b, NULL) < 0))
        return take_out (queue, a);
      if (b != NULL)
        return take_out (queue, b);
    }
  return NULL;
}

void *
gr_queue_take_expired (struct gr_queue *queue, int64_t now_ms)
{
  for (int i = 0; i < N_PRIORITIES; i++)
    for (int j = 0; j < 2; j++)
      {
        const struct waiting *first = first_of (queue->lanes[i][j]);

        if (first != NULL && first->latest_start_ms < now_ms)
          return take_out (queue, first);
      }
  return NULL;
}

bool
gr_queue_remove (struct gr_queue *queue, void *item)
{
  GSequenceIter *place = g_hash_table_lookup (queue->places, item);

  if (place == NULL)
    return false;
  take_out (queue, g_sequence_get (place));
  return true;
}

uint32_t
gr_queue_ahead (const struct gr_queue *queue,
                enum gr_priority priority,
                bool is_long,
                int64_t latest_start_ms)
{
  struct waiting probe = { .latest_start_ms = latest_start_ms,
                           .number = queue->next_number };
  GSequence *lane = queue->lanes[priority][is_long ? 1 : 0];
  int ahead = g_sequence_iter_get_position (
      g_sequence_search (lane, &probe, compare_waiting, NULL));

  for (int i = 0; i < (int)priority; i++)
    ahead += g_sequence_get_length (queue->lanes[i][is_long ? 1 : 0]);
  return (uint32_t)ahead;
}
