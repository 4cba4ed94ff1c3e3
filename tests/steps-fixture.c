#include "tests/steps-fixture.h"

#include <check.h>

const struct gr_step_spec steps_plain = {
  .count = 4,
  .needs = { 10000, 20000, 1 },
  .estimate_ms = 2000,
};

const struct gr_step_spec steps_gang = {
  .count = 8,
  .needs = { 50000, 20000, 8 },
  .estimate_ms = 2000,
  .gang = true,
  .one_rack = true,
};

struct steps_model *
steps_fixture_create (uint32_t workers, uint32_t seed)
{
  struct steps_model *model = steps_model_create (workers, 8, seed);

  steps_model_set_queue (model, "urgent", 0, 3);
  steps_model_set_queue (model, "normal", 1, 2);
  steps_model_set_queue (model, "batch", 2, 2);
  return model;
}

void
steps_fixture_destroy (struct steps_model *model)
{
  ck_assert_msg (steps_model_violation (model) == NULL, "%s",
                 steps_model_violation (model));
  steps_model_destroy (model);
}
