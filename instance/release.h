/* The announcement that an owner has stopped, kept in the store (see
 * GR_RECORD_RELEASED): by that owner itself, by the process that was started in
 * its place, or by its successor when enough time has passed. It shortens the
 * time for which its successor waits for workers that it does not reach; see
 * docs/design/former-owner.md. */
#pragma once

#include "platform/metastore.h"

/* What the record says. */
struct gr_release
{
  int64_t epoch;       /* of the owner that has stopped; 0: none has said so */
  uint32_t earlier_ms; /* time for which owners before it may still be active */
  bool announced;      /* there is such a record. Epoch 0 in it: the owner of
                          epoch 1 knows that there was no owner before it. */
};

/* Returns the record's content; announced is false and the epoch 0 if the text
 * is not such a record. */
struct gr_release gr_release_parse (const char *text);

/* Writes the record, once and without a condition: it is true whatever has
 * happened since, and one that is carried out late names a former epoch. To be
 * called when the owner sends nothing any more. A failure is logged. */
void gr_release_announce (struct gr_metastore *store,
                          const struct gr_release *release);

/* Does the same unless the record with this key has another revision, so that
 * the announcement of a later epoch is not replaced. */
void gr_release_announce_after (struct gr_metastore *store,
                                const struct gr_release *release,
                                const char *key,
                                int64_t revision);
