/* TCP relay that can drop and delay data and close connections. */
#pragma once

#include "standins/base.h"

struct gr_relay;

/* Relays connections on listen to target (both "IP:PORT"). The connections to
 * the target come from the IP address of listen. Faults are set with
 * POST /control on control_listen:
 *   drop: discards all data that arrives
 *   drop_answers: discards what the target sends
 *   hold: delivers no data, no end of a stream and no new connection until the
 *     fault ends, as a network does that sends again after an outage
 *   delay_ms: delays each chunk of data
 *   refuse: closes new connections
 *   closed: as if no process listened: closes all connections, and the system
 *     refuses new ones
 *   cut: closes all connections now
 *   half_close ("client" or "target"): ends the stream to that side now
 * Returns NULL and sets error if an address cannot be listened on. */
struct gr_relay *gr_relay_create (const char *listen,
                                  const char *target,
                                  const char *control_listen,
                                  struct gr_error *error);

/* relay may be NULL. */
void gr_relay_destroy (struct gr_relay *relay);

/* Returns the address that is relayed, owned by the relay. */
const char *gr_relay_address (const struct gr_relay *relay);

/* Returns the HTTP part with /control, owned by the relay. */
struct gr_standin *gr_relay_base (struct gr_relay *relay);

/* Closes all connections now. */
void gr_relay_disconnect_all (struct gr_relay *relay);

void gr_relay_set_hold (struct gr_relay *relay, bool hold);

/* Sets the fault "closed". Returns false if the address cannot be listened on
 * again, because another process has taken it. */
bool gr_relay_set_closed (struct gr_relay *relay, bool closed);
