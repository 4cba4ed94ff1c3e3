/* Stand-in of the key-value service: the part of the etcd v3 JSON API that the
 * product uses. */
#pragma once

#include "standins/base.h"

struct gr_standin_kv;

/* Starts an empty store on listen ("IP:PORT"). Returns NULL and sets error if
 * the address cannot be listened on. */
struct gr_standin_kv *gr_standin_kv_create (const char *listen,
                                            struct gr_error *error);

/* kv may be NULL. */
void gr_standin_kv_destroy (struct gr_standin_kv *kv);

/* Returns the HTTP part of the stand-in, owned by kv. */
struct gr_standin *gr_standin_kv_base (struct gr_standin_kv *kv);
