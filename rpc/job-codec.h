/* Jobs as msgpack maps: in RPC bodies and in the pages of the store. */
#pragma once

#include "rpc/pack.h"
#include "sched/job.h"

/* Adds the fields of spec to packer. */
void gr_pack_job_spec (struct gr_packer *packer,
                       const struct gr_job_spec *spec);

/* Reads what gr_pack_job_spec () wrote; the result is checked with
 * gr_job_spec_check (). On success clear it with gr_job_spec_clear (). */
bool gr_unpack_job_spec (const msgpack_object *map,
                         struct gr_job_spec *spec,
                         struct gr_error *error);

/* A packer with the whole record; owned by the caller. */
struct gr_packer *gr_pack_job_record (const struct gr_job_record *record);

/* On success clear the record with gr_job_record_clear (). Kind protocol. */
bool gr_unpack_job_record (const msgpack_object *map,
                           struct gr_job_record *record,
                           struct gr_error *error);
