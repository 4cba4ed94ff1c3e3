/* Rate limits of accounts, home side. Half of an account's rate is split into
 * fixed floors, one for each entry; the other half is shared. The home of an
 * account is the entry that divides the shared half among the entries according
 * to the demand that they report. The reporting side, which admits requests, is
 * in route/limit.h. No I/O and no clock: functions take now_ms.
 *
 * Two homes must never allot the same half. A home allots only while a majority
 * of the entries has reported to it within the last term (GR_LIMIT_TERM_MS),
 * and only after this has been so for two terms. An entry reports to a single
 * home within a term, so two homes never have a majority at the same time, and
 * allotments of a previous home have expired before the two terms are over. The
 * age of a report is counted from the time stamp that it echoes, which this
 * home sent in its last reply to that entry. A report that was delayed on its
 * way, or was read late because this process was paused, therefore does not
 * count as recent. */
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

/* Handles a report of an entry's demand, in requests per second. stamp_ms:
 * now_ms of this home's last reply to the entry, as echoed by the entry, or
 * negative if this incarnation of the home has not replied to the entry yet.
 * Returns the rate that the entry may use, in addition to its floor, for one
 * term from the time when it sent the report; 0 if nothing may be allotted or
 * the account does not exist. */
double gr_allot_handle_report (struct gr_allot *allot,
                               const char *account,
                               const char *entry,
                               double demand_per_s,
                               int64_t stamp_ms,
                               int64_t now_ms);
