/* Client of the key-value service: the JSON over HTTP form of the etcd v3 API.
 * All calls are asynchronous on the default GMainContext; done is called
 * exactly once, never from inside the call, also when the client is destroyed
 * (kind cancelled). Errors: store-unavailable if the call provably had no
 * effect (budget used up, connection refused), timeout or io if it may have
 * had one. */
#pragma once

#include "common/counter.h"
#include "common/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_kv;
struct gr_kv_txn;

struct gr_kv_entry
{
  char *key;
  char *value; /* NUL terminated; size does not count the NUL */
  size_t size;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease;
};

struct gr_kv_result
{
  int64_t revision; /* of the store */
  bool succeeded;   /* of a transaction: all compares held */
  size_t n_entries;
  struct gr_kv_entry *entries; /* of a range, or of the gets of a transaction */
  int64_t lease;               /* id of a granted lease */
  int64_t ttl_s;               /* of a granted or kept lease; 0: it is gone */
};

/* base_url as in "http://127.0.0.1:2379". Budgets are calls a second; a call
 * above its budget fails at once with store-unavailable and a time to come
 * back. Calls are counted in counters as kv_calls_total{cause}. */
struct gr_kv *gr_kv_create (const char *base_url,
                            uint32_t writes_per_s,
                            uint32_t reads_per_s,
                            struct gr_counters *counters);
void gr_kv_destroy (struct gr_kv *kv);

/* Reads key, or all keys that begin with it if prefix. Only entries with a
 * modification revision >= min_mod_revision; 0 for all. */
void gr_kv_range (struct gr_kv *kv,
                  const char *cause,
                  const char *key,
                  bool prefix,
                  int64_t min_mod_revision,
                  uint32_t timeout_ms,
                  void (*done) (const struct gr_kv_result *result,
                                const struct gr_error *error,
                                void *context),
                  void *context);

/* A transaction is built, then consumed by gr_kv_commit (). All compares must
 * hold for the puts and deletes to be done, else the gets of the failure
 * branch are done. */
struct gr_kv_txn *gr_kv_txn_create (void);
void gr_kv_txn_destroy (struct gr_kv_txn *txn);
void gr_kv_txn_if_created_at (struct gr_kv_txn *txn,
                              const char *key,
                              int64_t create_revision); /* 0: absent */
void gr_kv_txn_if_modified_at (struct gr_kv_txn *txn,
                               const char *key,
                               int64_t mod_revision);
void gr_kv_txn_if_value (struct gr_kv_txn *txn,
                         const char *key,
                         const void *value,
                         size_t size);
void gr_kv_txn_put (struct gr_kv_txn *txn,
                    const char *key,
                    const void *value,
                    size_t size,
                    int64_t lease); /* 0: none */
void gr_kv_txn_delete (struct gr_kv_txn *txn, const char *key);
void gr_kv_txn_else_get (struct gr_kv_txn *txn, const char *key);

void gr_kv_commit (struct gr_kv *kv,
                   const char *cause,
                   struct gr_kv_txn *txn,
                   uint32_t timeout_ms,
                   void (*done) (const struct gr_kv_result *result,
                                 const struct gr_error *error,
                                 void *context),
                   void *context);

void gr_kv_lease_grant (struct gr_kv *kv,
                        const char *cause,
                        int64_t ttl_s,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_kv_result *result,
                                      const struct gr_error *error,
                                      void *context),
                        void *context);
void gr_kv_lease_keepalive (struct gr_kv *kv,
                            const char *cause,
                            int64_t lease,
                            uint32_t timeout_ms,
                            void (*done) (const struct gr_kv_result *result,
                                          const struct gr_error *error,
                                          void *context),
                            void *context);
void gr_kv_lease_revoke (struct gr_kv *kv,
                         const char *cause,
                         int64_t lease,
                         uint32_t timeout_ms,
                         void (*done) (const struct gr_kv_result *result,
                                       const struct gr_error *error,
                                       void *context),
                         void *context);
