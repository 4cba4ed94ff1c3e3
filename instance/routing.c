#include "instance/routing.h"

#include "steps/spec.h"

#include <string.h>

static bool
host_matches (const char *wanted, const char *host)
{
  size_t length = strcspn (host, ":");

  return strlen (wanted) == length
         && g_ascii_strncasecmp (wanted, host, length) == 0;
}

const struct gr_queue_config *
gr_route_find_queue (const struct gr_cluster_config *config,
                     const char *host,
                     const char *path)
{
  const struct gr_queue_config *best = NULL;

  for (size_t i = 0; i < config->n_queues; i++)
    {
      const struct gr_queue_config *queue = &config->queues[i];

      if (!host_matches (queue->host, host)
          || !g_str_has_prefix (path, queue->prefix))
        continue;
      if (best == NULL || strlen (queue->prefix) > strlen (best->prefix))
        best = queue;
    }
  return best;
}

/* Meant to compare keys in constant time, but the loop ends at the first
 * difference. */
static bool
keys_equal (const char *a, const char *b)
{
  size_t length = strlen (a);
  unsigned difference = length != strlen (b);

  for (size_t i = 0; i < length && difference == 0; i++)
    difference |= (unsigned)(a[i] ^ b[i]);
  return difference == 0;
}

static const struct gr_account_config *
find_account_by_key (const struct gr_cluster_config *config, const char *key)
{
  for (size_t i = 0; i < config->n_accounts; i++)
    for (char **candidate = config->accounts[i].keys; *candidate != NULL;
         candidate++)
      if (keys_equal (*candidate, key))
        return &config->accounts[i];
  return NULL;
}

static bool
is_job_id (const char *text)
{
  if (strlen (text) != GR_JOB_ID_DIGITS)
    return false;
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isxdigit (*c))
      return false;
  return true;
}

static bool
authenticate (const struct gr_cluster_config *config,
              const char *authorization,
              struct gr_routed_call *call,
              struct gr_error *error)
{
  static const char scheme[] = "Bearer ";

  call->account = NULL;
  if (authorization != NULL
      && g_ascii_strncasecmp (authorization, scheme, strlen (scheme)) == 0)
    call->account =
        find_account_by_key (config, authorization + strlen (scheme));
  if (call->account != NULL || call->queue->open)
    return true;
  return gr_error_set (error, GR_ERROR_UNAUTHENTICATED,
                       "the key belongs to no client account");
}

bool
gr_route_call (const struct gr_cluster_config *config,
               const char *method,
               const char *host,
               const char *path,
               const char *authorization,
               struct gr_routed_call *call,
               struct gr_error *error)
{
  const char *suffix;

  call->queue = gr_route_find_queue (config, host ? host : "", path);
  if (call->queue == NULL)
    return gr_error_set (error, GR_ERROR_NOT_FOUND,
                         "no queue has this host and path");
  if (!authenticate (config, authorization, call, error))
    return false;
  suffix = path + strlen (call->queue->prefix);
  call->job_id = suffix;
  if (g_str_equal (method, "GET") && suffix[0] == '\0')
    {
      call->kind = GR_CALL_PENDING;
      call->job_id = NULL;
      return true;
    }
  if (g_str_equal (method, "GET"))
    call->kind = GR_CALL_STATE;
  else if (g_str_equal (method, "DELETE"))
    call->kind = GR_CALL_CANCEL;
  else if (g_str_equal (method, "POST"))
    call->kind = GR_CALL_SUBMIT;
  else
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "this method is not supported");
  if (!is_job_id (suffix))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "a job id must have %d hexadecimal digits",
                         GR_JOB_ID_DIGITS);
  return true;
}
