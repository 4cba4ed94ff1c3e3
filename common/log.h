/* Logging through GLib's structured logging: one JSON object per line, written
 * to standard error, or to another descriptor without blocking. Each line
 * carries a hybrid logical time, so that the lines of all processes can be
 * merged without an effect appearing before its cause. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* At most this many lines with the same event name are written per second.
 * Further lines are dropped, and the next line written for the event has their
 * number in the field "dropped". */
#define GR_LOG_MAX_PER_EVENT_PER_S 200

/* Installs the log writer of this process. process and instance are written in
 * each line and are copied. */
void gr_log_init (const char *process, const char *instance);

/* Drops lines below this level. The default is G_LOG_LEVEL_INFO. */
void gr_log_set_level (GLogLevelFlags level);

/* Writes further lines to this descriptor without blocking. If its reader is
 * slow, up to GR_LOG_MAX_BUFFER_BYTES are buffered; lines that do not fit are
 * dropped and counted in a line "log-dropped". */
#define GR_LOG_MAX_BUFFER_BYTES ((size_t)256 * 1024)
void gr_log_set_descriptor (int descriptor);

/* Writes as much of the buffer as the descriptor accepts without blocking. */
void gr_log_flush (void);

/* Hybrid logical time: milliseconds since 1970 in the upper 48 bits, a counter
 * in the lower 16 bits. The result of gr_hlc_now () is larger than all its
 * earlier results and all values passed to gr_hlc_observe (). */
uint64_t gr_hlc_now (void);
void gr_hlc_observe (uint64_t remote);

/* Logs an event at info level. The arguments are the event name, then pairs of
 * field name and string value, then NULL:
 * gr_log_event ("job-accepted", "job", job_id, "shard", name, NULL).
 * Fields whose value is NULL are omitted. Never pass tokens or bodies. */
void gr_log_event (const char *event, ...) G_GNUC_NULL_TERMINATED;

/* Like gr_log_event (), but at warning level, for events that an operator
 * should see. */
void gr_log_warning (const char *event, ...) G_GNUC_NULL_TERMINATED;
