/* Rate limits of accounts, home role: divides the shared half of an account's
 * rate among the entries that report their demand. The member role is in
 * route/limit.h. Pure: functions take now_ms.
 *
 * Two homes never allot the same half: a home allots only while a majority of
 * entries has reported to it within the last term and this has held for two
 * terms. An entry reports to one home within a term, so two homes never have a
 * majority at the same time, and what a former home has allotted has expired
 * before the two terms are over. A report counts from the stamp that it echoes,
 * which this home gave in its last answer: a report that was delayed on its way
 * or read after a pause does not count as new. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gr_allot;

struct gr_allot *gr_allot_create (uint32_t entry_instances);
void gr_allot_destroy (struct gr_allot *allot);
void gr_allot_set_instances (struct gr_allot *allot, uint32_t entry_instances);
void gr_allot_set_account (struct gr_allot *allot,
                           const char *account,
                           double rate_per_s);
void gr_allot_remove_account (struct gr_allot *allot, const char *account);

/* Takes a report. stamp_ms: now_ms of this home's last answer to the entry, or
 * a negative number if the entry has had none from this incarnation. Returns
 * the rate that the entry may use for one term from the time at which it sent
 * the report; 0 if nothing may be allotted. */
double gr_allot_report (struct gr_allot *allot,
                        const char *account,
                        const char *entry,
                        double demand_per_s,
                        int64_t stamp_ms,
                        int64_t now_ms);
