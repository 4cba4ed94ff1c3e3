/* Common parts of the tests of the core: queues, two kinds of steps, and the
 * check of the model's invariants. */
#pragma once

#include "tests/steps-model.h"

/* 4 tasks with one accelerator each. */
extern const struct gr_step_spec steps_plain;
/* A gang of 8 tasks on one rack, each with all accelerators of a worker. */
extern const struct gr_step_spec steps_gang;

/* A model with racks of 8 workers and the queues "urgent", "normal" and
 * "batch". */
struct steps_model *steps_fixture_create (uint32_t workers, uint32_t seed);
/* Fails the test if an invariant was violated, and destroys the model. */
void steps_fixture_destroy (struct steps_model *model);
