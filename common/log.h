/* Logs: one JSON object a line on standard error, or on a descriptor that is
 * never waited for, through GLib's structured logging. Each line carries a
 * hybrid logical time, so that the lines of all processes can be merged without
 * showing an effect before its cause. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Lines of one event name in one second above this number are dropped and
 * counted; the count is in the next line that is written. */
#define GR_LOG_MAX_PER_EVENT_PER_S 200

/* Installs the log writer for this process. Strings are copied. */
void gr_log_init (const char *process, const char *instance);

/* Lines below this level are dropped; G_LOG_LEVEL_INFO at the start. */
void gr_log_set_level (GLogLevelFlags level);

/* Writes to this descriptor from now on, and never waits for its reader: up to
 * GR_LOG_MAX_BUFFER_BYTES are kept, more lines are left out and counted in a
 * line "log-dropped". */
#define GR_LOG_MAX_BUFFER_BYTES ((size_t)256 * 1024)
void gr_log_set_descriptor (int descriptor);

/* Writes what is kept as far as the reader takes it now. */
void gr_log_flush (void);

/* Hybrid logical time: milliseconds since 1970 in the upper 48 bits, a
 * counter in the lower 16. gr_hlc_now () is larger than every earlier result
 * and than every time that was passed to gr_hlc_observe (). */
uint64_t gr_hlc_now (void);
void gr_hlc_observe (uint64_t remote);

/* gr_log_event ("job-accepted", "job", job_id, "shard", name, NULL):
 * the event name, then pairs of field name and string value; a NULL value is
 * left out. Never pass tokens or bodies. */
void gr_log_event (const char *event, ...) G_GNUC_NULL_TERMINATED;

/* The same at warning level, for what an operator should see. */
void gr_log_problem (const char *event, ...) G_GNUC_NULL_TERMINATED;
