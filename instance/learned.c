#include "instance/learned.h"

#include "common/log.h"
#include "rpc/pack.h"

#include <math.h>

/* Weights and means are stored as millionths: at most 5 bytes instead of 9.
 * Variances are stored in full, since a rounded one can contradict its
 * covariance. */
#define UNIT 1e-6
/* Largest number that is stored; weights and logarithms are far smaller. */
#define MAX_NUMBER 1e9

/* Stands for a number that the record lacks; the models reject it. */
#define MISSING 1e12

/* Version of the format. */
#define VERSION 1

/* Space for the keys and array headers of the record. */
#define HEADER_BYTES 64

/* All instances read each new record: with 147 instances and 50 kB, a write
 * causes 7 MB of traffic at the store. */
#define MIN_WRITE_INTERVAL_MS 5000
/* Interval between two checks for changes. */
#define CHECK_INTERVAL_MS 500
#define WRITE_TIMEOUT_MS 800

/* A change is material once this many samples, or a tenth of all, are new. With
 * more than the upper limit, a successor would lose several seconds of
 * learning. */
#define MIN_NEW_SAMPLES 20
#define MAX_NEW_SAMPLES 500

struct write
{
  struct gr_learned *learned; /* NULL after it was destroyed */
};

struct gr_learned
{
  struct gr_owner_deps deps;
  struct gr_steps *steps;
  int64_t owner_revision;
  bool enabled;
  int64_t next_check_ms;
  uint64_t written_samples; /* when the record was last written */
  bool written_uneven;
  struct write *open; /* write in flight, or NULL */
};

/* Encoding. */

struct encoded_row
{
  bool is_speed;
  double weight;
  struct gr_packer *packer;
};

static void
pack_number (struct gr_packer *packer, const char *key, double value)
{
  double bounded = CLAMP (value, -MAX_NUMBER, MAX_NUMBER);

  gr_pack_int (packer, key, isnan (value) ? 0 : llround (bounded / UNIT));
}

static void
encode_run_time (const struct gr_run_time_row *row, void *context)
{
  struct encoded_row encoded = {
    .weight = row->weight,
    .packer = gr_packer_create (),
  };

  gr_pack_string (encoded.packer, "k", row->key);
  pack_number (encoded.packer, "n", row->weight);
  pack_number (encoded.packer, "e", row->mean_estimate);
  pack_number (encoded.packer, "t", row->mean_time);
  gr_pack_double (encoded.packer, "ee", row->var_estimate);
  gr_pack_double (encoded.packer, "et", row->covariance);
  gr_pack_double (encoded.packer, "tt", row->var_time);
  g_array_append_val ((GArray *)context, encoded);
}

static void
encode_speed (const struct gr_speed_row *row, void *context)
{
  struct encoded_row encoded = {
    .is_speed = true,
    .weight = row->weight,
    .packer = gr_packer_create (),
  };

  gr_pack_string (encoded.packer, "w", row->worker);
  gr_pack_int (encoded.packer, "i", row->incarnation_unix_ms);
  pack_number (encoded.packer, "n", row->weight);
  pack_number (encoded.packer, "m", row->mean);
  g_array_append_val ((GArray *)context, encoded);
}

static gint
compare_rows (gconstpointer left, gconstpointer right)
{
  const struct encoded_row *a = left;
  const struct encoded_row *b = right;

  return (a->weight < b->weight) - (a->weight > b->weight);
}

/* Removes the least certain rows until the others fit. */
static void
limit_size (GArray *rows)
{
  size_t total = HEADER_BYTES;
  guint kept = 0;

  g_array_sort (rows, compare_rows);
  for (; kept < rows->len; kept++)
    {
      size_t size;

      gr_packer_data (g_array_index (rows, struct encoded_row, kept).packer,
                      &size);
      total += size;
      if (total > GR_LEARNED_MAX_BYTES)
        break;
    }
  for (guint i = kept; i < rows->len; i++)
    gr_packer_destroy (g_array_index (rows, struct encoded_row, i).packer);
  g_array_set_size (rows, kept);
}

static void
pack_rows (struct gr_packer *packer,
           const char *key,
           const GArray *rows,
           bool speeds)
{
  gr_pack_array_begin (packer, key);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct encoded_row *row =
          &g_array_index (rows, struct encoded_row, i);

      if (row->is_speed == speeds)
        gr_pack_array_add (packer, row->packer);
    }
  gr_pack_array_end (packer);
}

GBytes *
gr_learned_encode (const struct gr_steps *steps)
{
  g_autoptr (GArray) rows =
      g_array_new (FALSE, FALSE, sizeof (struct encoded_row));
  struct gr_packer *packer = gr_packer_create ();
  struct gr_speeds_state state;
  const void *data;
  GBytes *bytes;
  size_t size;

  gr_steps_each_learned_run_time (steps, encode_run_time, rows);
  gr_steps_each_learned_speed (steps, encode_speed, rows);
  limit_size (rows);
  gr_pack_int (packer, "version", VERSION);
  pack_rows (packer, "times", rows, false);
  pack_rows (packer, "speeds", rows, true);
  if (gr_steps_learned_speeds_state (steps, &state))
    {
      gr_pack_double (packer, "noise", state.sample_noise);
      gr_pack_double (packer, "noise_weight", state.noise_weight);
      gr_pack_bool (packer, "uneven", state.uneven);
    }
  data = gr_packer_data (packer, &size);
  bytes = g_bytes_new (data, size);
  gr_packer_destroy (packer);
  return bytes;
}

/* Decoding. */

static double
unpack_number (const msgpack_object *map, const char *key)
{
  int64_t value = gr_unpack_int (map, key, INT64_MIN);

  return value == INT64_MIN ? MISSING : (double)value * UNIT;
}

static bool
decode_run_time (const msgpack_object *map, struct gr_steps *steps)
{
  g_autofree char *key = gr_unpack_string (map, "k");
  struct gr_run_time_row row = {
    .key = key,
    .weight = unpack_number (map, "n"),
    .mean_estimate = unpack_number (map, "e"),
    .mean_time = unpack_number (map, "t"),
    .var_estimate = gr_unpack_double (map, "ee", MISSING),
    .covariance = gr_unpack_double (map, "et", MISSING),
    .var_time = gr_unpack_double (map, "tt", MISSING),
  };

  return key != NULL && gr_steps_restore_run_time (steps, &row);
}

static bool
decode_speed (const msgpack_object *map, struct gr_steps *steps)
{
  g_autofree char *worker = gr_unpack_string (map, "w");
  struct gr_speed_row row = {
    .worker = worker,
    .incarnation_unix_ms = gr_unpack_int (map, "i", -1),
    .weight = unpack_number (map, "n"),
    .mean = unpack_number (map, "m"),
  };

  return worker != NULL && row.incarnation_unix_ms >= 0
         && gr_steps_restore_speed (steps, &row);
}

/* The state is missing if the former owner did not learn speeds. */
static bool
decode_speeds_state (const msgpack_object *map,
                     size_t n_speeds,
                     struct gr_steps *steps)
{
  struct gr_speeds_state state = {
    .sample_noise = gr_unpack_double (map, "noise", MISSING),
    .noise_weight = gr_unpack_double (map, "noise_weight", MISSING),
    .uneven = gr_unpack_bool (map, "uneven", false),
  };

  return n_speeds == 0 || gr_steps_restore_speeds_state (steps, &state);
}

/* Returns the reason why the rows cannot be used, or NULL. */
static const char *
decode_rows (const msgpack_object *map, struct gr_steps *steps)
{
  size_t n_times;
  size_t n_speeds;
  const msgpack_object *times = gr_unpack_array (map, "times", &n_times);
  const msgpack_object *speeds = gr_unpack_array (map, "speeds", &n_speeds);

  if (gr_unpack_int (map, "version", 0) != VERSION)
    return "the version is unknown";
  if (times == NULL || speeds == NULL)
    return "a table is missing";
  for (size_t i = 0; i < n_times; i++)
    if (!decode_run_time (&times[i], steps))
      return "a run time is missing or out of range";
  for (size_t i = 0; i < n_speeds; i++)
    if (!decode_speed (&speeds[i], steps))
      return "a speed is missing or out of range";
  if (!decode_speeds_state (map, n_speeds, steps))
    return "the noise of speeds is missing or out of range";
  return NULL;
}

bool
gr_learned_decode (GBytes *value, struct gr_steps *steps, const char **reason)
{
  msgpack_unpacked unpacked;
  size_t size;
  const char *data = g_bytes_get_data (value, &size);
  size_t offset = 0;

  if (size > GR_LEARNED_MAX_BYTES)
    {
      *reason = "it is too large";
      return false;
    }
  msgpack_unpacked_init (&unpacked);
  if (data == NULL
      || msgpack_unpack_next (&unpacked, data, size, &offset)
             != MSGPACK_UNPACK_SUCCESS
      || unpacked.data.type != MSGPACK_OBJECT_MAP)
    *reason = "it is not a msgpack map";
  else
    *reason = decode_rows (&unpacked.data, steps);
  msgpack_unpacked_destroy (&unpacked);
  if (*reason != NULL)
    gr_steps_reset_learned (steps);
  return *reason == NULL;
}

/* The owner's writes. */

static void
restored (struct gr_learned *learned, size_t size)
{
  struct gr_steps_learning learning;
  char bytes[24];
  char keys[24];

  gr_steps_learning (learned->steps, &learning);
  learned->written_uneven = learning.uneven;
  g_snprintf (bytes, sizeof bytes, "%zu", size);
  g_snprintf (keys, sizeof keys, "%u", learning.keys);
  gr_log_event ("learned-restored", "bytes", bytes, "run-time-keys", keys,
                "speeds", learning.uneven ? "uneven" : "even", NULL);
}

void
gr_learned_restore (struct gr_learned *learned)
{
  GBytes *value = gr_mirror_learned (learned->deps.mirror);
  const char *reason;

  if (!learned->enabled || value == NULL)
    return;
  if (!gr_learned_decode (value, learned->steps, &reason))
    gr_log_warning ("learned-record-rejected", "reason", reason, NULL);
  else
    restored (learned, g_bytes_get_size (value));
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct write *write = context;
  struct gr_learned *learned = write->learned;

  g_free (write);
  if (learned == NULL)
    return;
  learned->open = NULL;
  /* The record is written again after the usual interval. If another instance
   * is the owner, the progress log finds out. */
  if (error != NULL || !result->conditions_held)
    learned->written_samples = 0;
}

static void
write_record (struct gr_learned *learned)
{
  GBytes *value = gr_learned_encode (learned->steps);
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();
  size_t size;
  const void *data = g_bytes_get_data (value, &size);

  learned->open = g_new0 (struct write, 1);
  learned->open->learned = learned;
  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, learned->owner_revision);
  gr_metastore_txn_put (txn, GR_RECORD_LEARNED, data, size, 0);
  gr_metastore_commit (
      learned->deps.store, txn, WRITE_TIMEOUT_MS,
      (struct gr_metastore_reply){ write_done, learned->open });
  g_bytes_unref (value);
}

/* Returns true, and records the state as written, if it differs materially from
 * the last record. */
static bool
has_changed (struct gr_learned *learned)
{
  struct gr_steps_learning learning;
  uint64_t samples;
  uint64_t least;

  gr_steps_learning (learned->steps, &learning);
  samples = learning.run_time_samples + learning.speed_samples;
  least = CLAMP (samples / 10, MIN_NEW_SAMPLES, MAX_NEW_SAMPLES);
  if (samples - learned->written_samples < least
      && learning.uneven == learned->written_uneven)
    return false;
  learned->written_samples = samples;
  learned->written_uneven = learning.uneven;
  return true;
}

void
gr_learned_run (struct gr_learned *learned)
{
  int64_t now_ms = gr_clock_now_ms (learned->deps.clock);

  if (!learned->enabled || learned->open != NULL
      || now_ms < learned->next_check_ms)
    return;
  learned->next_check_ms = now_ms + CHECK_INTERVAL_MS;
  if (!has_changed (learned))
    return;
  learned->next_check_ms = now_ms + MIN_WRITE_INTERVAL_MS;
  write_record (learned);
}

struct gr_learned *
gr_learned_create (const struct gr_owner_deps *deps,
                   struct gr_steps *steps,
                   int64_t owner_revision)
{
  struct gr_learned *learned = g_new0 (struct gr_learned, 1);

  learned->deps = *deps;
  learned->steps = steps;
  learned->owner_revision = owner_revision;
  learned->enabled =
      gr_mode_from_name (deps->settings->run_times) != GR_MODE_OFF
      || gr_mode_from_name (deps->settings->speeds) != GR_MODE_OFF;
  return learned;
}

void
gr_learned_destroy (struct gr_learned *learned)
{
  if (learned == NULL)
    return;
  if (learned->open != NULL)
    learned->open->learned = NULL;
  g_free (learned);
}
