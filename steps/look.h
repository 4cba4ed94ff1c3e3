/* Results of status polls of workers and of orders to them. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a task name, ID.OCCURRENCE.STEP.INDEX, with the final NUL. */
#define GR_TASK_NAME_SIZE 64
#define GR_CHECKPOINT_SIZE 64
#define GR_TICKET_SIZE 64

enum gr_run_end
{
  GR_END_DONE,
  GR_END_FAILED,  /* through a fault of the task or of the worker */
  GR_END_STOPPED, /* by a stop order */
  GR_END_LAPSED,  /* the lease on the worker's runs expired */
  GR_END_BROKEN,  /* another member of the gang ended */
  GR_END_ALONE,   /* the other members of the gang did not start in time */
};

/* A run that is active on the worker. */
struct gr_run_status
{
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  char checkpoint[GR_CHECKPOINT_SIZE]; /* "" if there is none */
  uint32_t percent; /* of the work done; a lasting task reports 100 once it has
                       fully started */
  uint32_t usage;   /* tail latency in ms of a task that serves requests,
                       otherwise processor use in thousandths of a core */
};

/* A run that has ended on the worker. */
struct gr_ended_run
{
  int64_t number; /* rises with each run end on one incarnation of the worker */
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  enum gr_run_end how;
  char checkpoint[GR_CHECKPOINT_SIZE];
};

/* Reply of a worker to a status poll. */
struct gr_run_report
{
  int64_t sent_ms;             /* owner's clock, when the poll was sent */
  int64_t clock_ms;            /* worker's clock when it answered */
  int64_t acknowledged_end;    /* that the poll carried; 0: none */
  int64_t incarnation_unix_ms; /* start of the incarnation; 0: not reported */
  size_t n_running;
  struct gr_run_status *running;
  size_t n_ended;
  struct gr_ended_run *ended;
  bool all_ended; /* false if there are more ends than one reply can hold */
};

enum gr_order_result
{
  GR_ORDER_DONE,
  GR_ORDER_NO_ROOM,
  GR_ORDER_RUN_TOO_OLD, /* the same or a later run was already stopped or has
                           ended */
  GR_ORDER_TOO_LATE,    /* the start limit had passed when the order reached the
                           worker */
  GR_ORDER_FENCED,      /* another owner has a higher epoch */
  GR_ORDER_UNHEALTHY,   /* the worker reports itself unhealthy; the order had no
                           effect */
  GR_ORDER_NO_TICKET,   /* the order's advice ticket is missing or invalid */
  GR_ORDER_OTHER_INCARNATION,
  GR_ORDER_REJECTED,
  GR_ORDER_OTHER_PROCESS, /* the process that the order is meant for has ended;
                             the order had no effect */
  GR_ORDER_NOT_SENT,      /* no connection; the order had no effect */
  GR_ORDER_UNKNOWN, /* no answer; the order may take effect now or later */
};
