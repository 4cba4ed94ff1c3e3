/* INI documents: the const table of keys, checks, and typed views. */
#pragma once

#include "common/error.h"
#include "settings/account.h"

#include <glib.h>

/* Longest document that is accepted, in bytes. */
#define GR_DOCUMENT_MAX_BYTES 65536

enum gr_document_kind
{
  GR_DOCUMENT_PROCESS,  /* local file of a process */
  GR_DOCUMENT_PLATFORM, /* path "platform" */
  GR_DOCUMENT_TEAM,     /* path "teams/NAME" */
  GR_DOCUMENT_INSTANCE, /* local file of an instance on the users' platform */
};

/* Local settings of a process. Strings are owned by the struct. */
struct gr_process_settings
{
  char *instance;        /* [process] instance */
  char *data_centre;     /* [process] data_centre */
  char *region;          /* [process] region */
  char *http_address;    /* [process] http_address, IP:PORT, port 0: any */
  char *rpc_address;     /* [process] rpc_address, IP:PORT, port 0: any */
  char *tls_certificate; /* [process] tls_certificate, PEM file or "" */
  char *tls_key;         /* [process] tls_key, PEM file or "" */
  char *operator_token_sha256; /* [process] operator_token_sha256 */
  char *kv_url;                /* [platform] kv_url, http://IP:PORT */
  char *instances_url;         /* [platform] instances_url */
  uint32_t kv_writes_per_s;    /* [platform] budget of this process */
  uint32_t kv_reads_per_s;
  uint32_t kv_timeout_ms;
  char *log_level; /* [log] level: debug, info, warning */
};

/* Local settings of an instance on the users' platform. Strings are owned by
 * the struct. */
struct gr_instance_settings
{
  char *instance;         /* [instance] name */
  char *data_centre;      /* [instance] data_centre */
  char *client_address;   /* [instance] client_address */
  char *ready_address;    /* [instance] ready_address */
  char *metrics_address;  /* [instance] metrics_address */
  char *store_address;    /* [platform] store_address */
  char *advice_address;   /* [platform] advice_address, or "" */
  char *machines_address; /* [platform] machines_address, or "" */
  uint32_t revoke_ms;     /* [bounds] */
  uint32_t grace_s;
  uint32_t max_hold_ms;
  uint32_t gang_wait_ms;
  uint32_t reclaim_ms;
  double checkpoint_s;
  uint32_t state_kept_s;
  uint32_t heartbeat_ms;
  double cpu_share; /* [instance] cpu_share */
  double far_factor;
  char *log_level; /* [log] level */
};

/* Shared settings, path "platform". */
struct gr_platform_settings
{
  uint32_t entry_instances;     /* [members] */
  uint32_t commit_interval_ms;  /* [store] group commit */
  uint32_t owner_lease_ttl_s;   /* [shards] */
  uint32_t start_lease_term_ms; /* [shards] */
  uint32_t run_lease_term_ms;   /* [shards] */
  uint32_t tick_ms;             /* [shards] */
  uint32_t max_attempts;        /* [jobs] */
  uint32_t retry_percent;       /* [requests] of first tries */
  uint32_t default_deadline_ms; /* [requests] */
  uint32_t max_body_bytes;      /* [requests] */
  uint32_t long_share_percent;  /* [requests] slots that long kinds may hold */
  uint32_t connections_per_executor; /* [requests] of one instance */
  char shards[1024];                 /* [shards] names, separated by ';' */
};

/* Checks a whole document. Appends one line for each error to problems:
 * section, key, what was found and what is allowed. Returns true if there is
 * none. An empty document of a path is valid: it deletes the path. */
bool gr_document_check (enum gr_document_kind kind,
                        const char *text,
                        GPtrArray *problems);

/* Kind of a path; false with kind bad-request if there is no such path. A team
 * name is 1 to 40 of a-z, 0-9 and '-'. */
bool gr_document_kind_of_path (const char *path,
                               enum gr_document_kind *kind,
                               struct gr_error *error);

/* Typed views; all missing keys get their defaults. The text must have passed
 * the check; otherwise kind bad-settings. */
bool gr_document_process (const char *text,
                          struct gr_process_settings *settings,
                          struct gr_error *error);
void gr_process_settings_clear (struct gr_process_settings *settings);
bool gr_document_instance (const char *text,
                           struct gr_instance_settings *settings,
                           struct gr_error *error);
void gr_instance_settings_clear (struct gr_instance_settings *settings);
bool gr_document_platform (const char *text,
                           struct gr_platform_settings *settings,
                           struct gr_error *error);
bool gr_document_team (const char *name,
                       const char *text,
                       struct gr_account_settings *settings,
                       struct gr_error *error);

/* Appends every key of a kind with type, unit, range, default and doc. */
void gr_document_print_keys (enum gr_document_kind kind, GString *out);
