/* JSON bodies of the key-value service. Internal to platform/. */
#pragma once

#include "kv/kv.h"

#include <glib.h>

/* Body of /v3/kv/range. */
GBytes *
gr_kv_encode_range (const char *key, bool prefix, int64_t min_mod_revision);

/* Body of /v3/kv/txn. */
GBytes *gr_kv_encode_txn (const struct gr_kv_txn *txn);

/* Body of the lease calls: one of the two is 0. */
GBytes *gr_kv_encode_lease (int64_t ttl_s, int64_t lease);

/* Fills result from the answer to any of the calls; false and error (protocol)
 * if it is malformed. The result is to be cleared in both cases. */
bool gr_kv_decode (GBytes *body,
                   struct gr_kv_result *result,
                   struct gr_error *error);
void gr_kv_result_clear (struct gr_kv_result *result);
