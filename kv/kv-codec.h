/* JSON bodies of the key-value service. Internal to kv/. */
#pragma once

#include "kv/kv.h"

#include <glib.h>

/* Builds the body of /v3/kv/range. The parameters are those of gr_kv_range
 * (). */
GBytes *
gr_kv_encode_range (const char *key, bool prefix, int64_t min_mod_revision);

/* Builds the body of /v3/kv/txn. txn is not changed. */
GBytes *gr_kv_encode_txn (const struct gr_kv_txn *txn);

/* Builds the body of a lease call. Only ttl_s is set to grant a lease, only
 * lease to keep it alive or revoke it; the other one is 0. */
GBytes *gr_kv_encode_lease (int64_t ttl_s, int64_t lease);

/* Decodes the response to any of the calls. Returns false and sets error
 * (protocol) if it is malformed. The caller must clear the result in both
 * cases. */
bool gr_kv_decode (GBytes *body,
                   struct gr_kv_result *result,
                   struct gr_error *error);
void gr_kv_result_clear (struct gr_kv_result *result);
