/* What a worker reports of its runs, and answers to orders. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest name of a task: ID.OCCURRENCE.STEP.INDEX. */
#define GR_TASK_NAME_SIZE 64
#define GR_CHECKPOINT_SIZE 64
#define GR_TICKET_SIZE 64

enum gr_run_end
{
  GR_END_DONE,
  GR_END_FAILED,  /* by its own fault or the worker's */
  GR_END_STOPPED, /* by an order */
  GR_END_LAPSED,  /* the worker's lease on its runs expired */
  GR_END_BROKEN,  /* another member of the gang ended */
  GR_END_ALONE,   /* the other members of the gang did not come in time */
};

struct gr_running
{
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  char checkpoint[GR_CHECKPOINT_SIZE]; /* "" if there is none */
  uint32_t percent;                    /* of the work; 100 if it is at work */
  uint32_t usage; /* tail in ms of a task that serves, else thousandths of a
                     core */
};

struct gr_ended
{
  int64_t number; /* rises with each end of an incarnation of the worker */
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  enum gr_run_end how;
  char checkpoint[GR_CHECKPOINT_SIZE];
};

struct gr_look
{
  int64_t sent_ms;      /* our clock, when the call was sent */
  int64_t clock_ms;     /* the worker's clock at its answer */
  int64_t born_unix_ms; /* 0 if not said */
  size_t n_running;
  struct gr_running *running;
  size_t n_ended;
  struct gr_ended *ended;
  bool all_ended; /* false if there are more ends than an answer holds */
};

enum gr_order_result
{
  GR_ORDER_DONE,
  GR_ORDER_NO_ROOM,
  GR_ORDER_RUN_TOO_OLD, /* a run that is not lower was stopped or has ended */
  GR_ORDER_TOO_LATE,    /* its time limit had passed at the worker */
  GR_ORDER_FENCED,      /* another owner has a higher epoch */
  GR_ORDER_UNHEALTHY,   /* nothing was done */
  GR_ORDER_NO_TICKET,   /* the advice does not allow it */
  GR_ORDER_OTHER_INCARNATION,
  GR_ORDER_REJECTED,
  GR_ORDER_NOT_SENT, /* no connection; nothing was done */
  GR_ORDER_UNKNOWN,  /* no answer; it may be carried out now or later */
};
