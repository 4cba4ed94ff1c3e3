/* Records of this project in the platform's store. The values for jobs and
 * their progress and for what is learned are msgpack, the others are text. */
#pragma once

#include "steps/spec.h"
#include "steps/steps.h"

#include <glib.h>

/* Prefix of all keys of the project. */
#define GR_RECORD_PREFIX "gr/"

#define GR_RECORD_OWNER "gr/owner" /* under the owner's lease */
#define GR_RECORD_EPOCH                                                        \
  "gr/generation" /* last epoch, increases by one; see instance/epoch-record.h \
                   */
#define GR_RECORD_RELEASED "gr/released" /* see instance/release.h */
#define GR_RECORD_STARTED "gr/begun"     /* ids of the jobs that have started */

/* Workers handed over to the next owner, which may find no registry entry of
 * them: one line per worker, with its id and address. */
#define GR_RECORD_HANDOVER "gr/absent"

/* Followed by the number of a wave; holds the machines whose upkeep is done or
 * may be ordered. */
#define GR_RECORD_WAVE "gr/wave/"

/* Followed by a number of two digits; see instance/tombstones.h. */
#define GR_RECORD_TOMBSTONES "gr/tombstones/"

/* Learned run times and speeds, as msgpack; see instance/learned.h. */
#define GR_RECORD_LEARNED "gr/learned"

enum gr_record_kind
{
  GR_RECORD_JOB,      /* written once, when the job is accepted */
  GR_RECORD_PROGRESS, /* written only by the owner */
  GR_RECORD_CANCEL,   /* written once, when the job is cancelled */
  GR_RECORD_OTHER,
};

/* Returns the key of a job's record, to be freed with g_free (). kind must not
 * be GR_RECORD_OTHER. */
char *gr_record_key (enum gr_record_kind kind, const char *job_id);

/* Returns the kind of a record by its key. *job_id points into key; NULL for
 * GR_RECORD_OTHER. */
enum gr_record_kind gr_record_kind (const char *key, const char **job_id);

/* The caller releases the value with g_bytes_unref (). */
GBytes *gr_record_encode_job (const struct gr_job_spec *spec);
/* Returns NULL if the value or the id is invalid. The caller destroys the
 * result with gr_job_spec_destroy (). */
struct gr_job_spec *gr_record_decode_job (const char *id, GBytes *value);

/* The values returned by the encoders are to be released with g_bytes_unref
 * (). */
GBytes *gr_record_encode_progress (const struct gr_job_progress *progress);
/* Returns false if the value is invalid. *progress is set in both cases, to
 * be cleared with gr_job_progress_clear (). */
bool gr_record_decode_progress (GBytes *value,
                                struct gr_job_progress *progress);
