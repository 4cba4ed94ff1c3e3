/* Conversion between jobs and the JSON objects of the HTTP interface. */
#pragma once

#include "sched/job.h"

#include <json-glib/json-glib.h>

/* Parses a job submission. Rejects unknown members, wrong types and invalid
 * values with kind bad-request. If the object has no "priority",
 * has_priority is false and spec->priority keeps its zero value. On success
 * clear spec with gr_job_spec_clear (). */
bool gr_job_from_json (JsonObject *object,
                       struct gr_job_spec *spec,
                       bool *has_priority,
                       struct gr_error *error);

/* Returns a new object that the caller owns. */
JsonObject *gr_job_to_json (const struct gr_job_record *record);
