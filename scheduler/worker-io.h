/* Calls to the workers of one shard: polls their reports and sends them the
 * commands of the decision core. Calls to one worker, polls included, are sent
 * one at a time in the order of the commands, so a report never shows a state
 * from before a command that has been answered. Everything runs on the default
 * GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "sched/core.h"
#include "targets/worker.h"

/* Poll interval of a worker. */
#define GR_REPORT_INTERVAL_MS 2000

/* First poll interval after a task has begun to run. It doubles with each
 * report up to GR_REPORT_INTERVAL_MS. Without it the accelerators of a short
 * task would stay allocated for up to two seconds after its end. */
#define GR_REPORT_FIRST_INTERVAL_MS 250

/* Timeout of a poll, and delay before it is retried after the first failure in
 * a row. */
#define GR_REPORT_TIMEOUT_MS 500
#define GR_REPORT_RETRY_MS 100

/* Call timeout of the core: a call or report that takes longer counts as lost,
 * and a worker counts as silent this long after its report was due. One failed
 * poll followed by a successful one fits in: 2000 + 500 + 100 ms. */
#define GR_WORKER_LOST_CALL_MS 3000

/* Timeout of one command, and number of tries. Three tries fit into a third of
 * the default lease term of a start (10 s). */
#define GR_WORKER_CALL_TIMEOUT_MS 1000
#define GR_WORKER_MAX_TRIES 3

/* A worker that is no longer in the instance list is removed when it has not
 * responded for this long. */
#define GR_WORKER_REMOVAL_MS 30000

struct gr_worker_io;

struct gr_worker_io_events
{
  /* requested_ms: when the poll was sent; the report may be from any time
   * since. */
  void (*report) (const struct gr_worker_report *report,
                  int64_t requested_ms,
                  void *context);
  void (*removed) (const char *worker, void *context);

  /* Result of a command, as gr_core_command_result () expects it. */
  void (*command_result) (enum gr_command_kind command,
                          const char *id,
                          enum gr_error_kind kind,
                          void *context);

  /* Whether commands may be sent now. Otherwise they stay queued in order,
   * while polls, and lease renewals if may_renew allows them, are sent ahead
   * of them. */
  bool (*may_command) (void *context);
  bool (*may_renew) (void *context);
};

/* client, clock and counters are not owned and must outlive the result; holder
 * and events are copied. */
struct gr_worker_io *
gr_worker_io_create (struct gr_worker_client *client,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const char *shard,
                     const char *holder,
                     const struct gr_worker_io_events *events,
                     void *context);

/* Drops the commands that were not sent. No events are emitted any more. */
void gr_worker_io_destroy (struct gr_worker_io *io);

/* Adds a worker or updates its address. listed: the worker is in the instance
 * list. */
void gr_worker_io_set_target (struct gr_worker_io *io,
                              const char *worker,
                              const char *address,
                              bool listed);

/* To be called after a round of gr_worker_io_set_target () calls. Workers that
 * were not set since the previous call of this function count as no longer
 * listed; a worker that is not listed and has not responded for
 * GR_WORKER_REMOVAL_MS is removed. */
void gr_worker_io_finish_targets (struct gr_worker_io *io);

/* Polls all workers now. */
void gr_worker_io_poll_all (struct gr_worker_io *io);

/* Queues a copy of a command. Its kind must not be commit. The term of a grant
 * or renewal counts from this call: what it has waited is taken off, and after
 * its term it is not sent and ends with kind timeout. For an unknown worker the
 * event command_result is emitted at once, with kind no-target. */
void gr_worker_io_send (struct gr_worker_io *io,
                        const struct gr_command *command);

/* Number of commands that have not been answered yet. */
uint32_t gr_worker_io_pending (const struct gr_worker_io *io);
