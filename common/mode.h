/* Modes of a feature that a setting enables. */
#pragma once

enum gr_mode
{
  GR_MODE_OFF,
  GR_MODE_OBSERVE, /* computes and logs decisions without applying them */
  GR_MODE_ON,
};

/* Returns the mode called off, observe or on; GR_MODE_OFF for other names and
 * for NULL. */
enum gr_mode gr_mode_from_name (const char *name);
