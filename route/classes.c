#include "route/classes.h"

#include <stdlib.h>
#include <string.h>

#define MAX_SAMPLES 15 /* run times kept for each kind */

struct kind
{
  char *key;
  GList *lru_link; /* link in gr_classes.lru */
  uint32_t n_samples;
  uint32_t next_sample;
  int64_t samples_ms[MAX_SAMPLES];
};

struct gr_classes
{
  GHashTable *kinds; /* "account/kind" to struct kind */
  GQueue lru;        /* struct kind, most recently used first */
  double mean_ms;
};

struct gr_classes *
gr_classes_create (void)
{
  struct gr_classes *classes = g_new0 (struct gr_classes, 1);

  classes->kinds = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&classes->lru);
  return classes;
}

static void
evict (struct gr_classes *classes, struct kind *kind)
{
  g_hash_table_remove (classes->kinds, kind->key);
  g_queue_delete_link (&classes->lru, kind->lru_link);
  g_free (kind->key);
  g_free (kind);
}

void
gr_classes_destroy (struct gr_classes *classes)
{
  if (classes == NULL)
    return;
  while (classes->lru.head != NULL)
    evict (classes, classes->lru.head->data);
  g_hash_table_destroy (classes->kinds);
  g_free (classes);
}

static struct kind *
find_and_touch (struct gr_classes *classes,
                const char *account,
                const char *name)
{
  char *key = g_strconcat (account, "/", name, NULL);
  struct kind *kind = g_hash_table_lookup (classes->kinds, key);

  g_free (key);
  if (kind == NULL)
    return NULL;
  g_queue_unlink (&classes->lru, kind->lru_link);
  g_queue_push_head_link (&classes->lru, kind->lru_link);
  return kind;
}

static struct kind *
get_or_add (struct gr_classes *classes, const char *account, const char *name)
{
  struct kind *kind = find_and_touch (classes, account, name);

  if (kind != NULL)
    return kind;
  if (g_hash_table_size (classes->kinds) >= GR_CLASSES_MAX)
    evict (classes, classes->lru.tail->data);
  kind = g_new0 (struct kind, 1);
  kind->key = g_strconcat (account, "/", name, NULL);
  g_queue_push_head (&classes->lru, kind);
  kind->lru_link = classes->lru.head;
  g_hash_table_insert (classes->kinds, kind->key, kind);
  return kind;
}

static int
compare_ms (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left < right ? -1 : left > right;
}

static int64_t
median_ms (const struct kind *kind)
{
  int64_t sorted[MAX_SAMPLES];

  if (kind->n_samples == 0)
    return 0;
  memcpy (sorted, kind->samples_ms, sizeof sorted);
  qsort (sorted, kind->n_samples, sizeof sorted[0], compare_ms);
  return sorted[kind->n_samples / 2];
}

int64_t
gr_classes_estimate_ms (struct gr_classes *classes,
                        const char *account,
                        const char *name)
{
  const struct kind *kind = find_and_touch (classes, account, name);

  return kind != NULL ? median_ms (kind) : 0;
}

bool
gr_classes_is_long (struct gr_classes *classes,
                    const char *account,
                    const char *name)
{
  return gr_classes_estimate_ms (classes, account, name) >= GR_LONG_RUN_MS;
}

static void
add_sample (struct kind *kind, int64_t run_ms)
{
  kind->samples_ms[kind->next_sample] = run_ms;
  kind->next_sample = (kind->next_sample + 1) % MAX_SAMPLES;
  kind->n_samples = MIN (kind->n_samples + 1, MAX_SAMPLES);
}

void
gr_classes_record_run (struct gr_classes *classes,
                       const char *account,
                       const char *name,
                       int64_t run_ms)
{
  add_sample (get_or_add (classes, account, name), run_ms);
  if (classes->mean_ms <= 0)
    classes->mean_ms = (double)run_ms;
  classes->mean_ms += ((double)run_ms - classes->mean_ms) / 16;
}

void
gr_classes_record_overrun (struct gr_classes *classes,
                           const char *account,
                           const char *name)
{
  add_sample (get_or_add (classes, account, name), GR_LONG_RUN_MS);
}

int64_t
gr_classes_mean_ms (const struct gr_classes *classes)
{
  return (int64_t)classes->mean_ms;
}
