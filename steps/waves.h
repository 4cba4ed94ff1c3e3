/* Upkeep of machines in waves: which machine goes down next, so that no more
 * than the cap are down at one time and running work is spared. Pure; the
 * caller lists machines, sends orders and stores what is done. */
#pragma once

#include "steps/steps.h"

struct gr_waves;

enum gr_machine_state
{
  GR_MACHINE_UP,
  GR_MACHINE_MOVING,
  GR_MACHINE_UPKEEP,
  GR_MACHINE_DOWN,
};

struct gr_machine
{
  char *machine;
  char *worker; /* id of its present incarnation as a worker, or "" */
  enum gr_machine_state state;
};

enum gr_upkeep_result
{
  GR_UPKEEP_DONE,
  GR_UPKEEP_BUSY,      /* not up, or leaving; to be tried again */
  GR_UPKEEP_NOT_OF_IT, /* no such machine, or not of this wave */
  GR_UPKEEP_FENCED,    /* another owner has a higher epoch */
  GR_UPKEEP_UNKNOWN,   /* no answer; it may be carried out now or later */
  GR_UPKEEP_NOT_SENT,  /* refused without effect */
};

struct gr_upkeep_order
{
  int64_t wave;
  char machine[GR_TASK_NAME_SIZE];
};

/* steps must outlive it. */
struct gr_waves *gr_waves_create (struct gr_steps *steps);
void gr_waves_destroy (struct gr_waves *waves);

/* machines is NULL-terminated; known waves only get the new cap. */
void gr_waves_set (struct gr_waves *waves,
                   int64_t wave,
                   const char *const *machines,
                   uint32_t cap);
/* The machine's upkeep was done under a former owner. */
void
gr_waves_restore (struct gr_waves *waves, int64_t wave, const char *machine);
/* A whole list of machines that was asked for at asked_ms. */
void gr_waves_list (struct gr_waves *waves,
                    const struct gr_machine *machines,
                    size_t n_machines,
                    int64_t asked_ms);
void gr_waves_result (struct gr_waves *waves,
                      const struct gr_upkeep_order *order,
                      enum gr_upkeep_result result,
                      int64_t now_ms);
void gr_waves_tick (struct gr_waves *waves, int64_t now_ms);

bool gr_waves_take_order (struct gr_waves *waves,
                          struct gr_upkeep_order *order);
/* Some wave is not complete, so that lists are needed. */
bool gr_waves_active (const struct gr_waves *waves);
/* Calls visit for each wave; done is the machines that are, one a line. */
void gr_waves_each (const struct gr_waves *waves,
                    void (*visit) (int64_t wave,
                                   bool complete,
                                   const char *done,
                                   void *context),
                    void *context);
