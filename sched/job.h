/* Data structures of jobs: the submitted specification, and the record that the
 * store keeps. */
#pragma once

#include "common/error.h"
#include "common/report.h"
#include "settings/account.h"

#define GR_JOB_KEY_MAX 64
#define GR_JOB_MAX_WORKERS 1024
#define GR_JOB_SPEC_MAX_BYTES 4096
#define GR_JOB_MAX_RUN_MS (30LL * 24 * 3600 * 1000)

struct gr_job_spec
{
  char account[GR_NAME_MAX];
  char key[GR_JOB_KEY_MAX];
  struct gr_shape shape;
  int64_t run_ms; /* declared run time; may be far off */
  enum gr_priority priority;
  bool idempotent;
  bool checkpointable;
  char data_centre[GR_NAME_MAX]; /* empty: any */
  uint32_t cores_per_task;
  uint32_t memory_mb_per_task;
  char *spec; /* opaque text for the workers; owned */
};

enum gr_job_state
{
  GR_JOB_ACCEPTED,
  GR_JOB_STARTING,
  GR_JOB_RUNNING,
  GR_JOB_STOPPING,
  GR_JOB_FINISHED,
  GR_JOB_FAILED, /* ran and failed; not retried */
  GR_JOB_CANCELLED,
  GR_JOB_REFUSED,      /* never ran */
  GR_JOB_MAY_HAVE_RUN, /* non-idempotent work that was started and whose outcome
                          is unknown */
};

/* One task of a job on one worker. */
struct gr_placement
{
  char worker[GR_NAME_MAX];
  char lease[GR_ID_MAX];
  char task[GR_ID_MAX];
  uint32_t accelerators; /* bit mask */
};

struct gr_job_record
{
  char id[GR_ID_MAX]; /* SHARD.ACCOUNT.KEY */
  struct gr_job_spec spec;
  enum gr_job_state state;
  uint32_t attempt; /* 0 until the first start */
  uint64_t version; /* incremented by each change; commits refer to it */
  bool cancel_asked;
  int64_t submitted_unix_ms;
  int64_t started_unix_ms; /* 0: not started yet */
  int64_t ended_unix_ms;
  int64_t saved_ms;  /* progress preserved by checkpoints */
  uint32_t failures; /* attempts that failed */
  char reason[160];
  uint32_t n_placements;
  struct gr_placement *placements; /* owned */
};

const char *gr_job_state_name (enum gr_job_state state);
bool gr_job_state_from_name (const char *name, enum gr_job_state *state);
bool gr_job_state_is_final (enum gr_job_state state);

/* Checks what does not depend on the state of a shard: names, ranges, UTF-8.
 * Error: bad-request. */
bool gr_job_spec_check (const struct gr_job_spec *spec, struct gr_error *error);

void gr_job_spec_copy (struct gr_job_spec *to, const struct gr_job_spec *from);
void gr_job_spec_clear (struct gr_job_spec *spec);
void gr_job_record_copy (struct gr_job_record *to,
                         const struct gr_job_record *from);
void gr_job_record_clear (struct gr_job_record *record);
