/* Load of the advice service as its caller sees it. The service handles the
 * calls of one machine one after the other, and completes calls whose caller
 * has gone, so a call waits for all earlier ones. Decides when another call may
 * be sent and when a call counts as unanswered. No I/O. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The connection of a call is kept for this long, since a late answer is as
 * useful as one in time. */
#define GR_ADVICE_CALL_LIMIT_MS 60000

/* Most calls without an answer, including those that are overdue. */
#define GR_ADVICE_MAX_CALLS 8

enum gr_advice_result
{
  GR_ADVICE_ANSWERED,
  GR_ADVICE_NOT_SENT,   /* the service was not reached */
  GR_ADVICE_OVERLOADED, /* the service rejected it, as too many calls wait */
  GR_ADVICE_FAILED,     /* the service may have received it and may handle it */
};

struct gr_advice_service;

struct gr_advice_service *gr_advice_service_create (void);
void gr_advice_service_destroy (struct gr_advice_service *service);

/* True if a call may be sent: it would be answered in time as far as is known
 * from the configured times and from earlier answers. */
bool gr_advice_service_may_call (const struct gr_advice_service *service,
                                 int64_t now_ms);

/* Records a call that takes the service work_ms according to the configuration;
 * 0 if that is not known. Returns the number of the call, at least 1. */
uint32_t gr_advice_service_begin (struct gr_advice_service *service,
                                  uint32_t work_ms,
                                  int64_t now_ms);

/* Records the end of a call, also of one that was overdue. */
void gr_advice_service_end (struct gr_advice_service *service,
                            uint32_t number,
                            enum gr_advice_result result,
                            int64_t now_ms);

/* Returns the number of a call that has become overdue: its answer may still
 * come, but does not count as expected any more. Returns 0 if there is none. */
uint32_t gr_advice_service_take_overdue (struct gr_advice_service *service,
                                         int64_t now_ms);

/* Time of a call that waits for no other one, as a multiple of the configured
 * time; at least 1. */
double gr_advice_service_slowness (const struct gr_advice_service *service);
