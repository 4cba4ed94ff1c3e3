/* The core of an owner and its calls to workers, run against the stand-in of
 * the users' platform. */
#pragma once

#include "instance/worker-io.h"
#include "standins/metastore.h"

#define MAX_WORKERS 32

struct instance_fixture
{
  uint32_t workers;
  struct gr_standin_platform *platform;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  struct gr_clock *clock;
  struct gr_counters *counters;
};

void instance_fixture_create (struct instance_fixture *fixture,
                              uint32_t workers,
                              uint32_t run_lease_ms);
void instance_fixture_destroy (struct instance_fixture *fixture);

/* As the registry shows the worker; incarnation 0: it does not show it. */
void instance_fixture_register (struct instance_fixture *fixture,
                                uint32_t number,
                                int64_t incarnation);

/* Runs passes of the owner and the stand-in. */
void instance_fixture_run (struct instance_fixture *fixture,
                           uint32_t duration_ms);

void instance_fixture_add_job (struct instance_fixture *fixture,
                               const char *id,
                               const char *payload,
                               uint32_t count,
                               uint32_t accelerators);

/* Adds a job that was accepted before the takeover. */
void instance_fixture_add_inherited_job (struct instance_fixture *fixture,
                                         const char *id,
                                         const char *payload,
                                         uint32_t count,
                                         uint32_t accelerators);
