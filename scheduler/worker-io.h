/* Calls to the workers of one shard: polls their reports and carries out the
 * commands of the decision core. The calls to one worker, reports included,
 * are made one after the other in the order of the commands, so a report never
 * shows a state from before a command that was answered. Everything runs on
 * the default GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "sched/core.h"
#include "targets/worker.h"

/* Time between two reports of a worker. */
#define GR_REPORT_MS 2000

/* The first report after a task has begun to run comes this soon, the next ones
 * after twice the time each, up to GR_REPORT_MS: a short task must not hold its
 * accelerators for two seconds more. */
#define GR_REPORT_FIRST_MS 250

/* Time limit of a report, and wait before it is asked for again after the first
 * failure in a row. */
#define GR_REPORT_CALL_MS 500
#define GR_REPORT_RETRY_MS 100

/* A worker is silent after this time. One report that fails, and an answer to
 * the next one, fit in: 2000 + 500 + 100 ms. */
#define GR_WORKER_SILENT_MS 3000

/* Time limit of one command, and number of tries. Three tries fit into a third
 * of the lease term of a start (10 s by default). */
#define GR_WORKER_CALL_MS 1000
#define GR_WORKER_TRIES 3

/* A worker that is not listed any more and does not answer for this long is
 * gone. */
#define GR_WORKER_GONE_MS 30000

struct gr_worker_io;

struct gr_worker_io_events
{
  void (*report) (const struct gr_worker_report *report, void *context);
  void (*gone) (const char *worker, void *context);

  /* The outcome of a command; id as gr_core_command_result () takes it. */
  void (*answer) (enum gr_command_kind command,
                  const char *id,
                  enum gr_error_kind kind,
                  void *context);

  /* Whether commands may be sent now. Until then they wait in their order, and
   * reports, and renewals if those are allowed, go ahead of them. */
  bool (*may_command) (void *context);
  bool (*may_renew) (void *context);
};

/* client, clock and counters are not owned; holder is copied. */
struct gr_worker_io *gr_worker_io_create (struct gr_worker_client *client,
                                          const struct gr_clock *clock,
                                          struct gr_counters *counters,
                                          const char *shard,
                                          const char *holder,
                                          const struct gr_worker_io_events *ev,
                                          void *context);

/* Commands that were not sent are dropped; no event follows. */
void gr_worker_io_destroy (struct gr_worker_io *io);

/* Makes a worker known, or changes its address. listed: the instance list
 * still has it. */
void gr_worker_io_target (struct gr_worker_io *io,
                          const char *worker,
                          const char *address,
                          bool listed);

/* Workers that were not named by gr_worker_io_target () since the last call of
 * this function are no longer listed. */
void gr_worker_io_targets_done (struct gr_worker_io *io);

/* Asks all workers for a report now. */
void gr_worker_io_poll_all (struct gr_worker_io *io);

/* Queues a command; it is copied. Commits are not for workers. */
void gr_worker_io_send (struct gr_worker_io *io,
                        const struct gr_command *command);

/* Commands that were not answered yet. */
uint32_t gr_worker_io_pending (const struct gr_worker_io *io);
