/* Jobs as msgpack maps, used in RPC bodies and in the pages of the store. */
#pragma once

#include "rpc/pack.h"
#include "sched/job.h"

/* Adds the fields of spec to the map of packer. */
void gr_pack_job_spec (struct gr_packer *packer,
                       const struct gr_job_spec *spec);

/* Reads the fields that gr_pack_job_spec () writes and checks the result with
 * gr_job_spec_check (). On success, the caller must clear spec with
 * gr_job_spec_clear (). Returns false and sets error on failure. */
bool gr_unpack_job_spec (const msgpack_object *map,
                         struct gr_job_spec *spec,
                         struct gr_error *error);

/* Returns a packer with all fields of record; owned by the caller. */
struct gr_packer *gr_pack_job_record (const struct gr_job_record *record);

/* Reads the fields that gr_pack_job_record () writes. On success, the caller
 * must clear record with gr_job_record_clear (). Returns false and sets error
 * on failure: kind bad-request for a field of the spec, protocol for other
 * fields. */
bool gr_unpack_job_record (const msgpack_object *map,
                           struct gr_job_record *record,
                           struct gr_error *error);
