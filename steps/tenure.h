/* The tenure of an owner: until when it is certainly the only one, what it may
 * conclude and send afterwards, and how long its successor waits for that. The
 * rule and its proof: docs/design/former-owner.md. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_steps;

/* An owner that cannot reach the store continues for this long after its lease
 * may have expired. It bridges outages of the store of about 11 s. */
#define GR_OWNER_ISOLATION_MS 9000

/* A worker's clock can run up to 2 % slow, according to the platform; 1 % more
 * is allowed for the owner's clock. */
#define GR_CLOCK_DRIFT_FACTOR 1.03

/* Covers transit times: an order may take effect at the worker before its
 * answer arrives. */
#define GR_LEASE_EXPIRY_MARGIN_MS 200

/* Until until_ms (the caller's clock) no other owner can have been elected.
 * From then on the core draws no conclusion that only a present owner may draw,
 * until a later time shows that none was elected. INT64_MAX before the first
 * call. To be called before each pass. */
void gr_steps_set_owner_lease (struct gr_steps *steps, int64_t until_ms);

/* The owner before this one sends nothing any more, and earlier ones do so at
 * most earlier_ms longer. Otherwise, both may go on for GR_OWNER_ISOLATION_MS
 * after the start of this owner. */
void gr_steps_former_owner_stopped (struct gr_steps *steps,
                                    uint32_t earlier_ms,
                                    int64_t now_ms);
/* Returns the time in ms for which former owners may still be active. */
uint32_t gr_steps_former_owner_ms (const struct gr_steps *steps,
                                   int64_t now_ms);

/* True if certainly no other owner is elected before time_ms. For orders that
 * workers do not fence; time_ms: when they have arrived or are lost. */
bool gr_steps_is_only_owner (const struct gr_steps *steps, int64_t time_ms);

/* False from GR_OWNER_ISOLATION_MS after the owner's lease on: nothing may be
 * sent to workers, as a successor counts on that. now_ms: the caller's clock.
 */
bool gr_steps_may_send (const struct gr_steps *steps, int64_t now_ms);
