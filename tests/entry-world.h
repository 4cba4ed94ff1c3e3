/* Entries in process, against the stand-ins, and a raw HTTP client. */
#pragma once

#include "entry/internal.h"
#include "standins/executor.h"
#include "standins/instances.h"
#include "standins/kv.h"
#include "standins/register.h"

#define WORLD_MAX 3

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
  int status; /* 0: the connection ended without a whole answer */
  char *headers;
  char *body;
  gsize size;
};

/* Accounts "a" and "b" with tokens "token-a" and "token-b" and much rate,
 * account "slow" with "token-slow" and a rate of 30; shard "dc1". */
void world_start (struct world *world,
                  uint32_t n_entries,
                  uint32_t n_executors,
                  uint32_t slots);
void world_stop (struct world *world);

/* Runs the main loop until check is true. The time limit of the test program
 * ends a loop that never does. */
void world_until (bool (*check) (void *context), void *context);
void world_sleep (int64_t ms);

struct gr_standin_faults *world_kv_faults (struct world *world);

/* Sends {"NAME": VALUE} to POST /control of an executor. */
void world_control (struct world *world, uint32_t executor, const char *body);

/* Runs that the executors have started under the key, over all executors. */
uint32_t world_started (const struct world *world, const char *key);

struct client *client_open (struct world *world, uint32_t entry);
void client_send (struct client *client, const void *data, gsize size);

/* Answers that are complete by now are taken; reply->status stays 0 if there
 * is none yet. */
bool client_poll (struct client *client, struct reply *reply);
void client_read (struct client *client, struct reply *reply);
void client_close (struct client *client);

void reply_clear (struct reply *reply);

/* String member of a JSON answer, "" if it has none; free with g_free (). */
char *reply_text (const struct reply *reply, const char *name);
int64_t reply_number (const struct reply *reply, const char *name);

/* One exchange. headers: lines ended by "\r\n", or "". */
struct reply world_call (struct world *world,
                         uint32_t entry,
                         const char *method,
                         const char *path,
                         const char *headers,
                         const char *body);

/* Text of POST /v1/requests of account "a"; free with g_free (). */
char *
request_text (const char *key, const char *more_headers, const char *body);
struct reply world_request (struct world *world,
                            uint32_t entry,
                            const char *key,
                            const char *more_headers,
                            const char *body);
