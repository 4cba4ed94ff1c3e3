/* TCP relay that can drop, delay and cut what passes through it. */
#pragma once

#include "standins/base.h"

struct gr_relay;

/* Relays connections on listen to target ("IP:PORT"). Its faults are set by
 * POST /control on control_listen: drop (bytes are thrown away), delay_ms
 * (each piece is passed on that much later), refuse (new connections are
 * closed), cut (closes all connections now), half_close ("client" or "target":
 * ends the stream towards that side now). */
struct gr_relay *gr_relay_create (const char *listen,
                                  const char *target,
                                  const char *control_listen,
                                  struct gr_error *error);
void gr_relay_destroy (struct gr_relay *relay);
const char *gr_relay_address (const struct gr_relay *relay);
struct gr_standin *gr_relay_base (struct gr_relay *relay);

/* Closes all connections now. */
void gr_relay_cut (struct gr_relay *relay);
