/* Stand-in of the key-value service: the part of the etcd v3 JSON API that the
 * design page names. */
#pragma once

#include "standins/base.h"

struct gr_standin_kv;

struct gr_standin_kv *gr_standin_kv_create (const char *listen,
                                            struct gr_error *error);
void gr_standin_kv_destroy (struct gr_standin_kv *kv);
struct gr_standin *gr_standin_kv_base (struct gr_standin_kv *kv);
