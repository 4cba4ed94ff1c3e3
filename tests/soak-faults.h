/* Faults and acts of the operator during a soak, chosen by a seed, in series
 * that overlap. */
#pragma once

#include "tests/soak-cluster.h"

struct soak_faults;

/* mix: "zones": mostly partitions of zones, "processes": none of them, "lists":
 * mostly owners without the store, "restarts": mostly workers that start again
 * under their ids and are cut off soon after, "all" or NULL: all faults. */
struct soak_faults *soak_faults_create (struct soak_cluster *cluster,
                                        uint32_t seed,
                                        const char *mix);
void soak_faults_destroy (struct soak_faults *faults);

/* Begins faults and ends those that are over. Called once a tick. */
void soak_faults_step (struct soak_faults *faults);

/* Ends all faults. */
void soak_faults_end (struct soak_faults *faults);

/* Returns a text with the last partitions and restarts, to be freed with g_free
 * (). */
char *soak_faults_describe (const struct soak_faults *faults);
