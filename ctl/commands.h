/* Implementations of the commands. Each gets the arguments after the command
 * name, whose number was checked against the command table, and returns the
 * exit code. Internal to ctl/. */
#pragma once

#include "ctl/context.h"

int gr_ctl_accounts_list (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_accounts_show (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_accounts_set (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_accounts_diff (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_accounts_history (struct gr_ctl *ctl, int argc, char **argv);

int gr_ctl_settings_list (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_get (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_set (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_edit (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_delete (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_diff (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_history (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_settings_watch (struct gr_ctl *ctl, int argc, char **argv);

int gr_ctl_jobs_submit (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_jobs_show (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_jobs_list (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_jobs_wait (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_jobs_cancel (struct gr_ctl *ctl, int argc, char **argv);

int gr_ctl_status (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_members (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_shards (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_workers (struct gr_ctl *ctl, int argc, char **argv);
int gr_ctl_drain (struct gr_ctl *ctl, int argc, char **argv);
