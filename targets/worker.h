/* Client of the workers' HTTP interface. All calls are asynchronous on the
 * default GMainContext. done is called exactly once for each call and never
 * before the call has returned; destroying the client ends pending calls with
 * error cancelled. Every call is idempotent by its lease or task id, so a call
 * whose response was lost may be repeated.
 *
 * Errors: conflict if the worker refused the call (for example because another
 * lease holds an accelerator or the lease does not exist), not-found for an
 * unknown id, bad-request if the worker rejected the call as malformed,
 * shutting-down if the worker is leaving, protocol for a malformed report,
 * no-target if the connection attempt failed, otherwise timeout or io. */
#pragma once

#include "common/error.h"
#include "common/report.h"

struct gr_worker_client;

struct gr_worker_client *gr_worker_client_create (void);
void gr_worker_client_destroy (struct gr_worker_client *client);

/* Polls a worker's report. address is "IP:PORT". report is valid only during
 * done, and NULL on error. */
void gr_worker_get_report (struct gr_worker_client *client,
                           const char *address,
                           uint32_t timeout_ms,
                           void (*done) (const struct gr_worker_report *report,
                                         const struct gr_error *error,
                                         void *context),
                           void *context);

/* Grants a lease on the accelerators to holder for term_ms. In this call and
 * those below, error is NULL on success. */
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

/* Renews the given leases of one worker in one call. The call also succeeds if
 * some of the leases no longer exist; the next report shows which. */
void gr_worker_renew (struct gr_worker_client *client,
                      const char *address,
                      const char *const *leases,
                      uint32_t n_leases,
                      int64_t term_ms,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_error *error,
                                    void *context),
                      void *context);

/* Stops the tasks that run under the lease and frees its accelerators. */
void gr_worker_release (struct gr_worker_client *client,
                        const char *address,
                        const char *lease,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_error *error,
                                      void *context),
                        void *context);

/* Starts a task under the lease. spec is passed on to the worker unchanged. */
void
gr_worker_start (struct gr_worker_client *client,
                 const char *address,
                 const char *lease,
                 const char *task,
                 uint32_t throttle_percent, /* 0: started but not running yet */
                 const char *spec,
                 uint32_t timeout_ms,
                 void (*done) (const struct gr_error *error, void *context),
                 void *context);

enum gr_task_action
{
  GR_TASK_THROTTLE,
  GR_TASK_CHECKPOINT,
  GR_TASK_STOP,
};

/* Throttles, checkpoints or stops a task. throttle_percent is used only for
 * GR_TASK_THROTTLE; 100: full speed. */
void gr_worker_control_task (struct gr_worker_client *client,
                             const char *address,
                             const char *task,
                             enum gr_task_action action,
                             uint32_t throttle_percent,
                             uint32_t timeout_ms,
                             void (*done) (const struct gr_error *error,
                                           void *context),
                             void *context);
