/* The record of the last epoch in the store (GR_RECORD_EPOCH): "EPOCH PROCESS
 * FORMER_PROCESS", with the processes that owned this epoch and the one before.
 * Former versions write the epoch alone, and read only the epoch. */
#pragma once

#include <stdint.h>

struct gr_epoch_record
{
  int64_t epoch;        /* 0: there was no owner */
  char *process;        /* of the epoch; NULL: unknown */
  char *former_process; /* of the epoch before; NULL: unknown */
};

/* Returns how an instance and the address that it has bound are named in the
 * record, to be freed with g_free (). NULL if the address does not name a
 * process: a port that the system selects, or an address of all machines. */
char *gr_epoch_process (const char *instance, const char *address);

/* Returns the record's content, to be cleared with gr_epoch_record_clear ().
 * Processes are unknown unless the whole text is readable. */
struct gr_epoch_record gr_epoch_record_parse (const char *text);
void gr_epoch_record_clear (struct gr_epoch_record *record);

/* Returns the text of the record for the epoch after last. process may be NULL.
 * To be freed with g_free (). */
char *gr_epoch_record_next (const struct gr_epoch_record *last,
                            const char *process);
