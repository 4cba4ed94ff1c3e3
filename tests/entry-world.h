/* Test environment for entries: stand-ins, executors and up to WORLD_MAX
 * entries in the test process, and a raw HTTP client. */
#pragma once

#include "entry/internal.h"
#include "standins/executor.h"
#include "standins/instances.h"
#include "standins/kv.h"
#include "standins/register.h"

#define WORLD_MAX 12

struct world
{
  struct gr_standin_kv *kv;
  struct gr_standin_instances *list;
  uint32_t n_executors;
  struct gr_standin_executor *executors[WORLD_MAX];
  uint32_t n_entries;
  struct gr_process_settings settings[WORLD_MAX];
  struct gr_entry *entries[WORLD_MAX];
  struct gr_registration *registrations[WORLD_MAX];
  bool seeded;
};

struct client
{
  GSocket *socket;
  GString *received;
};

struct reply
{
  int status; /* 0: the connection closed before a complete response */
  char *headers;
  char *body;
  gsize size;
};

/* Starts the stand-ins, executors with slots slots each, and entries, and
 * waits until every entry is ready and lists all executors and entries.
 * Creates the accounts "a" and "b" with the tokens "token-a" and "token-b"
 * and a rate of 1000000 requests/s, the account "slow" with the token
 * "token-slow" and a rate of 30 requests/s, and the shard "dc1". */
void world_start (struct world *world,
                  uint32_t n_entries,
                  uint32_t n_executors,
                  uint32_t slots);
void world_stop (struct world *world);

/* Runs the main loop until check returns true. There is no timeout here; the
 * timeout of the test program ends a loop that never finishes. */
void world_until (bool (*check) (void *context), void *context);
void world_sleep (int64_t ms);

struct gr_standin_faults *world_kv_faults (struct world *world);

/* Sends body, an object {"NAME": VALUE}, to POST /control of an executor, to
 * set a fault or its state. */
void world_control (struct world *world, uint32_t executor, const char *body);

/* Returns the number of runs with this key that have been started, summed
 * over all executors. */
uint32_t world_started (const struct world *world, const char *key);

struct client *client_open (struct world *world, uint32_t entry);
void client_send (struct client *client, const void *data, gsize size);

/* Receives without blocking. Returns true if a complete response was stored
 * in reply, or if the server has closed the connection; reply->status stays
 * 0 if there is no complete response. */
bool client_poll (struct client *client, struct reply *reply);
void client_read (struct client *client, struct reply *reply);
void client_close (struct client *client);

void reply_clear (struct reply *reply);

/* Returns a string member of a JSON response, "" if there is none; free with
 * g_free (). */
char *reply_text (const struct reply *reply, const char *name);

/* Returns a non-negative integer member of a JSON response, -1 if there is
 * none. */
int64_t reply_number (const struct reply *reply, const char *name);

/* Sends one request on a new connection and waits for the response. headers:
 * lines that each end with "\r\n", or "". */
struct reply world_call (struct world *world,
                         uint32_t entry,
                         const char *method,
                         const char *path,
                         const char *headers,
                         const char *body);

/* Returns the text of a POST /v1/requests of account "a". Free with
 * g_free (). */
char *
request_text (const char *key, const char *more_headers, const char *body);
struct reply world_request (struct world *world,
                            uint32_t entry,
                            const char *key,
                            const char *more_headers,
                            const char *body);
