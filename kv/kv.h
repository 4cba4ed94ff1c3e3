/* Client of the key-value service, which implements the JSON over HTTP form of
 * the etcd v3 API. All calls are asynchronous on the default GMainContext. done
 * is called exactly once and never from within the function that starts the
 * call; when the client is destroyed, it gets kind cancelled. The kind is
 * store-unavailable if the call certainly had no effect (budget exhausted,
 * connection refused), and timeout or io if it may have had one. */
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
  char *value; /* NUL-terminated; size does not include the NUL */
  size_t size;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease;
};

struct gr_kv_result
{
  int64_t revision; /* of the store, at the time of the response */
  bool succeeded;   /* of a transaction: all compares were true */
  size_t n_entries;
  struct gr_kv_entry *entries; /* from a range or the gets of a transaction */
  int64_t lease;               /* ID of a granted lease */
  int64_t ttl_s; /* of a granted or kept-alive lease; 0: no such lease */
};

/* Creates a client for the service at base_url, for example
 * "http://127.0.0.1:2379". Reads and writes have separate budgets in calls per
 * second. A call above its budget is not sent and fails with store-unavailable
 * and a retry time. Calls that are sent are counted in counters as
 * kv_calls_total{cause}. */
struct gr_kv *gr_kv_create (const char *base_url,
                            uint32_t writes_per_s,
                            uint32_t reads_per_s,
                            struct gr_counters *counters);
void gr_kv_destroy (struct gr_kv *kv);

/* Reads the entry of key, or of all keys that begin with key if prefix is true.
 * Returns only entries with mod_revision >= min_mod_revision; 0 for all. */
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

/* Transactions are built with the functions gr_kv_txn_* () and then passed to
 * gr_kv_commit (), which frees them. If all compares (gr_kv_txn_if_* ()) are
 * true, the service executes the puts and deletes, otherwise the gets
 * (gr_kv_txn_else_get ()). */
struct gr_kv_txn *gr_kv_txn_create (void);
void gr_kv_txn_destroy (struct gr_kv_txn *txn);
void gr_kv_txn_if_created_at (struct gr_kv_txn *txn,
                              const char *key,
                              int64_t create_revision); /* 0: key is absent */
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
                    int64_t lease); /* 0: no lease */
void gr_kv_txn_delete (struct gr_kv_txn *txn, const char *key);
void gr_kv_txn_else_get (struct gr_kv_txn *txn, const char *key);

/* Executes a transaction, which is freed even if the call fails.
 * result->succeeded states which branch was executed. */
void gr_kv_commit (struct gr_kv *kv,
                   const char *cause,
                   struct gr_kv_txn *txn,
                   uint32_t timeout_ms,
                   void (*done) (const struct gr_kv_result *result,
                                 const struct gr_error *error,
                                 void *context),
                   void *context);

/* Grants a lease with a time to live of ttl_s seconds. result->lease is its
 * ID. */
void gr_kv_lease_grant (struct gr_kv *kv,
                        const char *cause,
                        int64_t ttl_s,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_kv_result *result,
                                      const struct gr_error *error,
                                      void *context),
                        void *context);
/* Renews a lease for its time to live. Sent even if the write budget is
 * exhausted. */
void gr_kv_lease_keepalive (struct gr_kv *kv,
                            const char *cause,
                            int64_t lease,
                            uint32_t timeout_ms,
                            void (*done) (const struct gr_kv_result *result,
                                          const struct gr_error *error,
                                          void *context),
                            void *context);
/* Revokes a lease; the store deletes the keys that are attached to it. */
void gr_kv_lease_revoke (struct gr_kv *kv,
                         const char *cause,
                         int64_t lease,
                         uint32_t timeout_ms,
                         void (*done) (const struct gr_kv_result *result,
                                       const struct gr_error *error,
                                       void *context),
                         void *context);
