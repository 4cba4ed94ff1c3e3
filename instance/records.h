/* Records of this project in the platform's store: keys and msgpack values. */
#pragma once

#include "steps/spec.h"
#include "steps/steps.h"

#include <glib.h>

/* All keys of the project begin with this. */
#define GR_RECORD_PREFIX "gr/"

#define GR_RECORD_OWNER "gr/owner"           /* under the owner's lease */
#define GR_RECORD_GENERATION "gr/generation" /* of owners, rises by one */
#define GR_RECORD_BEGUN "gr/begun" /* ids of jobs of which a task has begun */

/* Workers that may run something though a successor may find no entry of them:
 * id and address. */
#define GR_RECORD_ABSENT "gr/absent"

/* Followed by the number of a wave: machines whose upkeep is done. */
#define GR_RECORD_WAVE "gr/wave/"

enum gr_record_kind
{
  GR_RECORD_JOB,      /* written once, when the job is accepted */
  GR_RECORD_PROGRESS, /* written by the owner alone */
  GR_RECORD_CANCEL,   /* written once, when the job is cancelled */
  GR_RECORD_OTHER,
};

/* Key of a record of a job, to be freed with g_free (). */
char *gr_record_key (enum gr_record_kind kind, const char *job_id);

/* Kind of a key; *job_id points into key. */
enum gr_record_kind gr_record_kind (const char *key, const char **job_id);

GBytes *gr_record_encode_job (const struct gr_job_spec *spec);
/* NULL if the value cannot be read. */
struct gr_job_spec *gr_record_decode_job (const char *id, GBytes *value);

GBytes *gr_record_encode_progress (const struct gr_job_progress *progress);
bool gr_record_decode_progress (GBytes *value,
                                struct gr_job_progress *progress);
