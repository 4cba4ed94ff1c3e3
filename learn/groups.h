/* Groups of nearly equal values that were measured with noise. */
#pragma once

#include <stdint.h>

/* Replaces each of the n values (logarithms, in ascending order) by the mean of
 * its group. There are as few groups as leave no more variance within them than
 * noise_variance explains; their means differ by at least 10 %. */
void gr_group_values (double *values, uint32_t n, double noise_variance);
