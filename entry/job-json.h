/* Jobs as JSON objects of the HTTP interface. */
#pragma once

#include "sched/job.h"

#include <json-glib/json-glib.h>

/* Reads a submission. Unknown members and wrong types are errors. priority
 * stays as it is if the object states none. Kind bad-request. On success clear
 * spec with gr_job_spec_clear (). */
bool gr_job_from_json (JsonObject *object,
                       struct gr_job_spec *spec,
                       bool *has_priority,
                       struct gr_error *error);

/* Owned by the caller. */
JsonObject *gr_job_to_json (const struct gr_job_record *record);
