/* Client of the workers' HTTP interface. Asynchronous on the default
 * GMainContext; done is called exactly once, never from inside the call, also
 * on destroy (kind cancelled). Every call is idempotent by its lease or task
 * id, so a call whose answer was lost may be repeated. Errors: conflict if the
 * worker refused (accelerator held, lease gone), not-found for an unknown id,
 * no-target if no connection could be made, timeout or io else. */
#pragma once

#include "common/error.h"
#include "common/report.h"

struct gr_worker_client;

struct gr_worker_client *gr_worker_client_create (void);
void gr_worker_client_destroy (struct gr_worker_client *client);

/* address is "IP:PORT". report is valid during done. */
void gr_worker_get_report (struct gr_worker_client *client,
                           const char *address,
                           uint32_t timeout_ms,
                           void (*done) (const struct gr_worker_report *report,
                                         const struct gr_error *error,
                                         void *context),
                           void *context);

/* The calls below end with error NULL on success. */
void gr_worker_grant (struct gr_worker_client *client,
                      const char *address,
                      const char *lease,
                      const char *holder,
                      uint32_t accelerators, /* bit mask */
                      int64_t term_ms,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_error *error,
                                    void *context),
                      void *context);

/* Renews all given leases of one worker in one call. Leases that are gone are
 * seen in the next report. */
void gr_worker_renew (struct gr_worker_client *client,
                      const char *address,
                      const char *const *leases,
                      uint32_t n_leases,
                      int64_t term_ms,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_error *error,
                                    void *context),
                      void *context);

/* Stops the tasks under the lease and frees its accelerators. */
void gr_worker_release (struct gr_worker_client *client,
                        const char *address,
                        const char *lease,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_error *error,
                                      void *context),
                        void *context);

void gr_worker_start (struct gr_worker_client *client,
                      const char *address,
                      const char *lease,
                      const char *task,
                      uint32_t throttle_percent, /* 0: do not run yet */
                      const char *spec,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_error *error,
                                    void *context),
                      void *context);

enum gr_task_action
{
  GR_TASK_THROTTLE,
  GR_TASK_CHECKPOINT,
  GR_TASK_STOP,
};

/* throttle_percent counts only for GR_TASK_THROTTLE; 100: full speed. */
void gr_worker_act (struct gr_worker_client *client,
                    const char *address,
                    const char *task,
                    enum gr_task_action action,
                    uint32_t throttle_percent,
                    uint32_t timeout_ms,
                    void (*done) (const struct gr_error *error, void *context),
                    void *context);
