/* Passes the evacuated data centres to the owner's scheduling core, and holds
 * starts while the owner's knowledge of them may be out of date. */
#pragma once

#include "instance/owner.h"

struct gr_evacuation_control;

/* The first run requests a full read of the evacuations; starts are held until
 * it, or a watch that was sent later, has ended. deps and steps must outlive
 * the returned object. */
struct gr_evacuation_control *
gr_evacuation_control_create (const struct gr_owner_deps *deps,
                              struct gr_steps *steps);
void gr_evacuation_control_destroy (struct gr_evacuation_control *control);

/* Brings the core up to date. To be called after each change of the
 * configuration view and before each scheduling pass. If requests to evacuate
 * are disabled in the settings, no data centre counts as evacuated. */
void gr_evacuation_control_run (struct gr_evacuation_control *control);
