/* Upkeep (maintenance) of machines in waves: decides which machine is taken
 * down next, so that no more machines of a wave than its cap are down at the
 * same time and running work is disturbed as little as possible. Does no I/O;
 * the caller lists machines, sends orders and stores which machines have been
 * done. */
#pragma once

#include "steps/steps.h"

/* Timeout of an order for an upkeep. */
#define GR_UPKEEP_ORDER_TIMEOUT_MS 700

struct gr_waves;

enum gr_machine_state
{
  GR_MACHINE_UP,
  GR_MACHINE_MOVING,
  GR_MACHINE_UPKEEP,
  GR_MACHINE_DOWN, /* also any unknown state */
};

struct gr_machine
{
  char *machine;
  char *worker; /* worker id of the machine's current incarnation, or "" */
  enum gr_machine_state state;
};

enum gr_upkeep_result
{
  GR_UPKEEP_DONE,
  GR_UPKEEP_BUSY, /* the machine is not up, or is leaving; to be retried */
  GR_UPKEEP_NOT_IN_WAVE, /* the machine does not exist or is not part of this
                            wave */
  GR_UPKEEP_FENCED,      /* another owner has a higher epoch */
  GR_UPKEEP_UNKNOWN,     /* no answer; the order may take effect now or later */
  GR_UPKEEP_NOT_SENT,    /* no connection or refused; the order had no effect */
};

struct gr_upkeep_order
{
  int64_t wave;
  char machine[GR_TASK_NAME_SIZE];
};

/* steps must outlive the returned object. Destroy with gr_waves_destroy (). */
struct gr_waves *gr_waves_create (struct gr_steps *steps);
void gr_waves_destroy (struct gr_waves *waves);

/* Adds a wave; machines is NULL-terminated. For a wave that is already known,
 * only the cap is updated. */
void gr_waves_set (struct gr_waves *waves,
                   int64_t wave,
                   const char *const *machines,
                   uint32_t cap);
/* Marks a machine's upkeep as done under a former owner. */
void
gr_waves_restore (struct gr_waves *waves, int64_t wave, const char *machine);
/* A former owner may have ordered the machine's upkeep, and the order may still
 * take effect: the machine counts as down until an order of this owner was
 * answered. */
void gr_waves_restore_open (struct gr_waves *waves,
                            int64_t wave,
                            const char *machine);
/* Updates the state of machines from a complete list that was requested at
 * requested_ms. */
void gr_waves_update_machines (struct gr_waves *waves,
                               const struct gr_machine *machines,
                               size_t n_machines,
                               int64_t requested_ms);
/* Processes the result of an upkeep order. */
void gr_waves_result (struct gr_waves *waves,
                      const struct gr_upkeep_order *order,
                      enum gr_upkeep_result result,
                      int64_t now_ms);
/* Moves machines on to their next state and queues the orders that are due.
 * Decides nothing, and no order is taken, once the owner's lease may expire
 * before an order has arrived (see steps/tenure.h). */
void gr_waves_tick (struct gr_waves *waves, int64_t now_ms);

/* Takes the next order. Returns false if there is none. */
bool gr_waves_take_order (struct gr_waves *waves,
                          struct gr_upkeep_order *order);
/* True if some wave is not complete, so that machine lists are needed. */
bool gr_waves_active (const struct gr_waves *waves);

/* What has to be stored of a wave. */
struct gr_wave_progress
{
  int64_t wave;
  bool complete;
  const GPtrArray *done; /* const char *; machines whose upkeep is finished */
  const GPtrArray *open; /* const char *; machines whose upkeep is or may soon
                            be ordered */
  uint32_t sequence;     /* of the last machine added to open */
};

/* Calls visit for each wave. */
void gr_waves_each (const struct gr_waves *waves,
                    void (*visit) (const struct gr_wave_progress *progress,
                                   void *context),
                    void *context);
/* The progress of the wave up to this sequence is stored. No order is sent for
 * a machine before: a successor would not know that it may take effect. */
void gr_waves_stored (struct gr_waves *waves, int64_t wave, uint32_t sequence);
