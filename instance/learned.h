/* The record of learned run times and speeds (GR_RECORD_LEARNED). The owner
 * writes it from time to time, and its successor starts from it. A write that
 * fails or is lost does no harm: learning continues in memory. */
#pragma once

#include "instance/owner.h"

/* Largest record. All instances read it with the other records. */
#define GR_LEARNED_MAX_BYTES ((size_t)64 * 1024)

struct gr_learned;

/* owner_revision is that of the owner's record, a condition of each write. */
struct gr_learned *gr_learned_create (const struct gr_owner_deps *deps,
                                      struct gr_steps *steps,
                                      int64_t owner_revision);
/* A write in flight may still take effect. */
void gr_learned_destroy (struct gr_learned *learned);

/* Passes the record that the mirror holds to the core. Logs
 * learned-record-rejected if it cannot be used. */
void gr_learned_restore (struct gr_learned *learned);
/* Writes the record if it is due and has changed; call it after each pass. */
void gr_learned_run (struct gr_learned *learned);

/* Encodes what the core has learned, without the least certain rows if all do
 * not fit. Release with g_bytes_unref (). */
GBytes *gr_learned_encode (const struct gr_steps *steps);
/* Passes the rows of a record to the core. Returns false and sets *reason to a
 * static text if the record cannot be used; nothing is learned then. */
bool
gr_learned_decode (GBytes *value, struct gr_steps *steps, const char **reason);
