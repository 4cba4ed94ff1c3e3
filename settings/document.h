/* Settings documents in INI format: validation against the table of keys, and
 * parsing into structs. */
#pragma once

#include "common/error.h"
#include "settings/account.h"

#include <glib.h>

/* Maximum size of a document, in bytes. */
#define GR_DOCUMENT_MAX_BYTES 65536

enum gr_document_kind
{
  GR_DOCUMENT_PROCESS,  /* local file of a process */
  GR_DOCUMENT_PLATFORM, /* shared document at path "platform" */
  GR_DOCUMENT_TEAM,     /* shared document at path "teams/NAME" */
  GR_DOCUMENT_INSTANCE, /* local file of an instance on the users' platform */
};

/* Local settings of a process. The struct owns its strings; free them with
 * gr_process_settings_clear (). */
struct gr_process_settings
{
  char *instance;              /* [process] instance */
  char *data_centre;           /* [process] data_centre */
  char *region;                /* [process] region */
  char *http_address;          /* [process] IP:PORT; port 0: any free port */
  char *rpc_address;           /* [process] IP:PORT; port 0: any free port */
  char *tls_certificate;       /* [process] name of a PEM file, or "" */
  char *tls_key;               /* [process] name of a PEM file, or "" */
  char *operator_token_sha256; /* [process] operator_token_sha256 */
  char *kv_url;                /* [platform] kv_url, http://IP:PORT */
  char *instances_url;         /* [platform] instances_url */
  uint32_t kv_writes_per_s;    /* [platform] limit of this process */
  uint32_t kv_reads_per_s;     /* [platform] limit of this process */
  uint32_t kv_timeout_ms;      /* [platform] */
  char *log_level;             /* [log] level: debug, info or warning */
};

/* Local settings of an instance on the users' platform. The struct owns its
 * strings; free them with gr_instance_settings_clear (). */
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
  uint32_t grace_s;       /* [bounds] */
  uint32_t max_hold_ms;   /* [bounds] */
  uint32_t gang_wait_ms;  /* [bounds] */
  uint32_t reclaim_ms;    /* [bounds] */
  double checkpoint_s;    /* [bounds] */
  uint32_t state_kept_s;  /* [bounds] */
  uint32_t heartbeat_ms;  /* [platform] */
  double cpu_share;       /* [instance] in cores */
  double far_factor;      /* [bounds] */
  uint32_t state_wait_ms; /* [clients] */
  uint32_t evacuate_ms;   /* [bounds]; 0: no requests to evacuate */
  uint32_t stop_ms;       /* [bounds] */
  char *run_times;        /* [learning]; for gr_mode_from_name () */
  char *speeds;           /* [learning]; the same */
  char *objectives;       /* [placement]; the same */
  char *budget;           /* [preemption]; the same */
  char *log_level;        /* [log] level: debug, info or warning */
};

/* Settings shared by all processes, from the document "platform". */
struct gr_platform_settings
{
  uint32_t entry_instances;     /* [members] */
  uint32_t commit_interval_ms;  /* [store] interval of group commits */
  uint32_t owner_lease_ttl_s;   /* [shards] */
  uint32_t start_lease_term_ms; /* [shards] */
  uint32_t run_lease_term_ms;   /* [shards] */
  uint32_t tick_ms;             /* [shards] */
  uint32_t max_attempts;        /* [jobs] */
  uint32_t retry_percent;       /* [requests] retries per 100 first attempts */
  uint32_t default_deadline_ms; /* [requests] */
  uint32_t max_body_bytes;      /* [requests] */
  uint32_t long_share_percent;  /* [requests] slots for long-running kinds */
  uint32_t connections_per_executor; /* [requests] from one instance */
  char shards[1024];                 /* [shards] names, separated by ';' */
};

/* Validates a whole document. Appends one owned string per error to problems:
 * section, key, the value found and the allowed values. Returns true if there
 * are no errors. An empty shared document is valid: it deletes the path. */
bool gr_document_check (enum gr_document_kind kind,
                        const char *text,
                        GPtrArray *problems);

/* Sets *kind to the kind of document that path refers to. Returns false with
 * error kind bad-request if the path is invalid. The name in "teams/NAME" is
 * 1 to 40 of a-z, 0-9 and '-'. */
bool gr_document_kind_of_path (const char *path,
                               enum gr_document_kind *kind,
                               struct gr_error *error);

/* Parse a document into a struct; missing keys get their defaults. Return
 * false with error kind bad-settings, and a cleared struct, if the document is
 * invalid. */
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

/* Appends a sample document of a kind to out: every key with its default, and
 * comments with its description, allowed values and unit. */
void gr_document_print_keys (enum gr_document_kind kind, GString *out);
