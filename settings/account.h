/* Settings of one client account, parsed from its document "teams/NAME". Plain
 * data without owned pointers. */
#pragma once

#include "common/report.h"

#include <stdbool.h>
#include <stdint.h>

#define GR_MAX_GUARANTEES 16
#define GR_SHA256_HEX_BYTES 65 /* 64 digits and the terminating NUL */

enum gr_priority
{
  GR_PRIORITY_URGENT, /* a customer waits for the result */
  GR_PRIORITY_NORMAL,
  GR_PRIORITY_BATCH, /* overnight work */
};

struct gr_shape
{
  uint32_t workers;
  uint32_t accelerators_per_worker;
};

struct gr_guarantee
{
  char name[GR_NAME_MAX];
  struct gr_shape shape;
  char data_centre[GR_NAME_MAX];
  uint32_t count;
};

struct gr_account_settings
{
  char name[GR_NAME_MAX];
  enum gr_priority priority;   /* of work that does not specify one */
  double rate_per_s;           /* requests/s, all instances; 0: none allowed */
  uint32_t quota_accelerators; /* in use at the same time; 0: no limit */
  char token_sha256[GR_SHA256_HEX_BYTES]; /* "": no token is valid */
  uint32_t n_guarantees;
  struct gr_guarantee guarantees[GR_MAX_GUARANTEES];
};

/* Returns "urgent", "normal" or "batch"; "normal" for an unknown value. */
const char *gr_priority_name (enum gr_priority priority);

/* Parses the name of a priority. Returns false, with *priority unchanged, if
 * the name is unknown. */
bool gr_priority_from_name (const char *name, enum gr_priority *priority);
