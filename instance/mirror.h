/* Copy of the project's records in the store, kept by a watch. Every instance
 * has one; it answers questions about jobs and makes a takeover short. */
#pragma once

#include "common/clock.h"
#include "instance/records.h"
#include "platform/metastore.h"

struct gr_mirror;

struct gr_mirror_job
{
  struct gr_job_spec *spec; /* NULL until the job's own record was read */
  int64_t job_revision;
  struct gr_job_progress progress; /* of the last record */
  int64_t progress_revision;       /* 0: there is none */
  int64_t cancel_revision;         /* 0: not cancelled */
  bool begun;                      /* as the owner last published */
  int64_t final_since_ms;          /* 0: not final */
};

struct gr_mirror_events
{
  /* A record of the job has changed. */
  void (*job_changed) (const char *id,
                       const struct gr_mirror_job *job,
                       void *context);
  /* The owner's record has come, changed or gone. */
  void (*owner_changed) (void *context);
  void *context;
};

struct gr_mirror *gr_mirror_create (struct gr_metastore *store,
                                    const struct gr_clock *clock,
                                    const struct gr_mirror_events *events);
void gr_mirror_destroy (struct gr_mirror *mirror);

/* The owner follows changes with no delay; others save calls. */
void gr_mirror_follow_closely (struct gr_mirror *mirror, bool closely);

/* All records were read once. */
bool gr_mirror_is_loaded (const struct gr_mirror *mirror);

/* When the last answer that says that the copy was current was asked for. */
int64_t gr_mirror_current_ms (const struct gr_mirror *mirror);

/* Jobs in the copy. */
uint32_t gr_mirror_size (const struct gr_mirror *mirror);

/* NULL if there is no such job in the copy. */
const struct gr_mirror_job *gr_mirror_find (const struct gr_mirror *mirror,
                                            const char *id);

/* Reads all records again, not stale; done is called with the result. */
void gr_mirror_reload (struct gr_mirror *mirror,
                       void (*done) (bool loaded, void *context),
                       void *context);

/* Takes an item that was read or written elsewhere. */
void gr_mirror_apply (struct gr_mirror *mirror,
                      const struct gr_metastore_item *item);

void gr_mirror_each (const struct gr_mirror *mirror,
                     void (*visit) (const char *id,
                                    const struct gr_mirror_job *job,
                                    void *context),
                     void *context);

/* Revision of the owner's record, 0 if there is none; text is its value. */
int64_t gr_mirror_owner (const struct gr_mirror *mirror, const char **text);

/* Workers that may run something though they may have no entry in the registry,
 * as the last owner has written them: lines of id and address. */
const char *gr_mirror_absent (const struct gr_mirror *mirror);

/* Machines of the wave whose upkeep is done, one a line; NULL if there is no
 * record. */
const char *gr_mirror_wave (const struct gr_mirror *mirror, int64_t wave);

/* Generation of the last owner, 0 if there was none, and the revision of its
 * record. */
int64_t gr_mirror_generation (const struct gr_mirror *mirror,
                              int64_t *revision);
