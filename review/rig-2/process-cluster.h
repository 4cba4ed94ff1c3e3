/* Runs a small deployment on loopback for the cases of the second review: the
 * project's instances with the command of the deploy file, its stand-ins of the
 * platform's store and of the executors, a proxy in front of the store, and
 * clients. All run in one main loop; processes are children of this one. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#define RIG_INSTANCES 3
#define RIG_MAX_WORKERS 8
#define RIG_CONFIRM_MS 3000

/* Keys of the tenant in the configuration of rig_put_config (). */
#define RIG_KEY_A "key-a-7d1f"
#define RIG_KEY_B "key-b-90c2"

struct rig;

/* What the proxy does with a call to the store. */
enum rig_store_action
{
  RIG_STORE_PASS,
  RIG_STORE_LOSE,  /* carried out at once, never answered */
  RIG_STORE_LATE,  /* carried out after late_ms, never answered */
  RIG_STORE_RESET, /* carried out at once; its connection is reset when the case
                      calls rig_reset_held () */
  RIG_STORE_BUSY,  /* not carried out, answered with 503 */
};

/* Decides on each call to the store. is_txn: it is a transaction; body: its
 * content as text, or NULL. */
struct rig_store_hook
{
  enum rig_store_action (*decide) (bool is_txn,
                                   const char *body,
                                   uint32_t *late_ms,
                                   void *context);
  void *context;
};

struct rig_answer
{
  guint status; /* 0: no complete answer in time */
  const char *body;
};

/* A start of a task that an executor has reported. */
struct rig_start
{
  char *task;
  char *worker;
  int64_t at_ms;
};

/* folder: of the case; record.txt is written there. Returns NULL if the case
 * cannot run. */
struct rig *rig_create (const char *folder, int workers);
/* Ends all processes and frees the rig. */
void rig_destroy (struct rig *rig);
/* True unless TROUBLE=0. */
bool rig_trouble (const struct rig *rig);
/* Address of the stand-in of the machines interface; call before the instances
 * are started. */
void rig_set_machines_address (struct rig *rig, const char *address);
/* Address of the stand-in of the advice service, and the terms that the queue
 * has in each configuration, as JSON. */
void rig_set_advice (struct rig *rig, const char *address, const char *terms);
void rig_set_store_hook (struct rig *rig, const struct rig_store_hook *hook);
/* Starts the store, the executors and the instances, writes the configuration,
 * and waits until a job has been run. Returns false if that fails. */
bool rig_start (struct rig *rig);
/* Writes a configuration with one queue and one tenant, as the operator. */
bool rig_put_config (struct rig *rig, int version, const char *const *keys);
bool rig_put (struct rig *rig, const char *key, const char *text);
/* Value of a key of the store as text; NULL if there is none. */
char *rig_get (struct rig *rig, const char *key);

/* Milliseconds of the steady clock, which all processes share. */
int64_t rig_now_ms (void);
/* Runs the main loop for a time. */
void rig_wait (struct rig *rig, uint32_t ms);
void rig_record (struct rig *rig, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Calls an instance on a new connection; done is called once, also without an
 * answer. key: NULL for none. */
void rig_call (struct rig *rig,
               int instance,
               const char *method,
               const char *job,
               const char *key,
               const char *body,
               uint32_t timeout_ms,
               void (*done) (const struct rig_answer *answer, void *context),
               void *context);
/* Closes the connections of all calls that RIG_STORE_RESET holds. */
void rig_reset_held (struct rig *rig);

/* Starts reported so far: struct rig_start. */
GPtrArray *rig_starts (struct rig *rig);
/* First start of any task of the job; NULL if there is none. */
const struct rig_start *rig_first_start (struct rig *rig, const char *job);

void rig_kill_instance (struct rig *rig, int instance);
bool rig_start_instance (struct rig *rig, int instance);
/* The instance that owns the scheduling, as the store says; -1: none. */
int rig_owner (struct rig *rig);
void rig_kill_worker (struct rig *rig, int worker);
/* Starts the executor of a machine under a new id, at a new address. */
bool rig_start_worker (struct rig *rig, int worker);
/* Starts it again under its id, at its address. */
bool rig_restart_worker (struct rig *rig, int worker);
const char *rig_worker_id (struct rig *rig, int worker);

/* A free loopback address, as IP:PORT. */
char *rig_free_address (void);
/* A new job id. */
char *rig_job_id (struct rig *rig);
