/* Waiting of an urgent gang for faster workers. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* True if the gang, which fits on free workers of this slowness, should not
 * start on them: it is expected to complete earlier on faster workers whose
 * runs end soon. These are reserved for it. Decided once for each step;
 * guaranteed work never waits. */
bool gr_gang_waits (struct gr_steps *steps, struct step *step, double slowness);
