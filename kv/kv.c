#include "kv/kv.h"

#include "http/http.h"
#include "kv/kv-codec.h"

/* A process has several calls in flight at a time: a poll, a commit, a
 * keepalive and a few writes of marks. */
#define CONNECTIONS 16

struct budget
{
  double per_s;
  double tokens;
  int64_t refilled_us;
};

struct gr_kv
{
  struct gr_http *http;
  char *base_url;
  struct budget writes;
  struct budget reads;
  struct gr_counters *counters;
};

struct kv_call
{
  void (*done) (const struct gr_kv_result *result,
                const struct gr_error *error,
                void *context);
  void *context;
};

enum call_class
{
  CALL_READ,
  CALL_WRITE,
  CALL_KEEPALIVE,
};

static void
budget_init (struct budget *budget, uint32_t per_s)
{
  budget->per_s = MAX (per_s, 1);
  budget->tokens = budget->per_s;
  budget->refilled_us = g_get_monotonic_time ();
}

/* Takes one call from the budget; returns false and sets error if it is
 * exhausted. A forced call is always allowed: it may make the number of tokens
 * negative, which delays later calls. */
static bool
budget_take (struct budget *budget, bool forced, struct gr_error *error)
{
  int64_t now_us = g_get_monotonic_time ();
  double wait_s;

  budget->tokens +=
      (double)(now_us - budget->refilled_us) / 1e6 * budget->per_s;
  budget->tokens = MIN (budget->tokens, budget->per_s);
  budget->refilled_us = now_us;
  if (budget->tokens >= 1 || forced)
    {
      budget->tokens = MAX (budget->tokens - 1, -budget->per_s);
      return true;
    }
  wait_s = (1 - budget->tokens) / budget->per_s;
  return gr_error_set_retry (error, GR_ERROR_STORE_UNAVAILABLE,
                             (int64_t)(wait_s * 1000) + 1,
                             "the budget of key-value calls is exhausted");
}

struct gr_kv *
gr_kv_create (const char *base_url,
              uint32_t writes_per_s,
              uint32_t reads_per_s,
              struct gr_counters *counters)
{
  struct gr_kv *kv = g_new0 (struct gr_kv, 1);

  kv->http = gr_http_create (CONNECTIONS);
  kv->base_url = g_strdup (base_url);
  if (g_str_has_suffix (kv->base_url, "/"))
    kv->base_url[strlen (kv->base_url) - 1] = '\0';
  budget_init (&kv->writes, writes_per_s);
  budget_init (&kv->reads, reads_per_s);
  kv->counters = counters;
  return kv;
}

void
gr_kv_destroy (struct gr_kv *kv)
{
  if (kv == NULL)
    return;
  gr_http_destroy (kv->http);
  g_free (kv->base_url);
  g_free (kv);
}

static void
set_status_error (const struct gr_http_response *response,
                  struct gr_error *error)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (response->body, &size);
  int excerpt_bytes = text ? (int)MIN (size, 120) : 0;
  enum gr_error_kind kind = GR_ERROR_IO;

  if (response->status == 404)
    kind = GR_ERROR_NOT_FOUND;
  else if (response->status == 400)
    kind = GR_ERROR_BAD_REQUEST;
  else if (response->status == 401 || response->status == 403)
    kind = GR_ERROR_FORBIDDEN;
  else if (response->status == 429)
    kind = GR_ERROR_STORE_UNAVAILABLE;
  gr_error_set (error, kind,
                "the key-value service responded with status %u: %.*s",
                response->status, excerpt_bytes, text ? text : "");
}

static void
call_done (const struct gr_http_response *response,
           const struct gr_error *error,
           void *context)
{
  struct kv_call *call = context;
  struct gr_kv_result result = { 0 };
  struct gr_error call_error = GR_ERROR_INIT;

  if (error != NULL)
    {
      call_error = *error;
      if (call_error.kind == GR_ERROR_NO_TARGET)
        call_error.kind = GR_ERROR_STORE_UNAVAILABLE;
    }
  else if (response->status != 200)
    set_status_error (response, &call_error);
  else
    gr_kv_decode (response->body, &result, &call_error);
  if (call_error.kind == GR_ERROR_NONE)
    call->done (&result, NULL, call->context);
  else
    call->done (NULL, &call_error, call->context);
  gr_kv_result_clear (&result);
  g_free (call);
}

static void
count_call (struct gr_kv *kv, const char *cause)
{
  char *labels = g_strdup_printf ("cause=\"%s\"", cause);

  gr_counter_add (gr_counters_get (kv->counters, "kv_calls_total", labels), 1);
  g_free (labels);
}

/* Takes ownership of body. */
static void
send_call (struct gr_kv *kv,
           const char *cause,
           const char *path,
           enum call_class class,
           GBytes *body,
           uint32_t timeout_ms,
           void (*done) (const struct gr_kv_result *result,
                         const struct gr_error *error,
                         void *context),
           void *context)
{
  struct kv_call *call = g_new0 (struct kv_call, 1);
  struct budget *budget = class == CALL_READ ? &kv->reads : &kv->writes;
  struct gr_error refusal = GR_ERROR_INIT;
  char *url = g_strconcat (kv->base_url, path, NULL);
  struct gr_http_request request = {
    .method = "POST",
    .url = url,
    .content_type = "application/json",
    .body = body,
    /* If a transaction were sent twice, its second execution could fail a
     * compare because of the first, and be reported as a conflict. */
    .may_resend = class != CALL_WRITE,
    .timeout_ms = timeout_ms,
  };

  call->done = done;
  call->context = context;
  /* Keepalives are sent even without budget, because a lost lease costs far
   * more calls. */
  if (budget_take (budget, class == CALL_KEEPALIVE, &refusal))
    count_call (kv, cause);
  else
    request.refusal = &refusal;
  gr_http_call (kv->http, &request, call_done, call);
  g_free (url);
  g_bytes_unref (body);
}

void
gr_kv_range (struct gr_kv *kv,
             const char *cause,
             const char *key,
             bool prefix,
             int64_t min_mod_revision,
             uint32_t timeout_ms,
             void (*done) (const struct gr_kv_result *result,
                           const struct gr_error *error,
                           void *context),
             void *context)
{
  send_call (kv, cause, "/v3/kv/range", CALL_READ,
             gr_kv_encode_range (key, prefix, min_mod_revision), timeout_ms,
             done, context);
}

void
gr_kv_commit (struct gr_kv *kv,
              const char *cause,
              struct gr_kv_txn *txn,
              uint32_t timeout_ms,
              void (*done) (const struct gr_kv_result *result,
                            const struct gr_error *error,
                            void *context),
              void *context)
{
  GBytes *body = gr_kv_encode_txn (txn);

  gr_kv_txn_destroy (txn);
  send_call (kv, cause, "/v3/kv/txn", CALL_WRITE, body, timeout_ms, done,
             context);
}

void
gr_kv_lease_grant (struct gr_kv *kv,
                   const char *cause,
                   int64_t ttl_s,
                   uint32_t timeout_ms,
                   void (*done) (const struct gr_kv_result *result,
                                 const struct gr_error *error,
                                 void *context),
                   void *context)
{
  send_call (kv, cause, "/v3/lease/grant", CALL_WRITE,
             gr_kv_encode_lease (ttl_s, 0), timeout_ms, done, context);
}

void
gr_kv_lease_keepalive (struct gr_kv *kv,
                       const char *cause,
                       int64_t lease,
                       uint32_t timeout_ms,
                       void (*done) (const struct gr_kv_result *result,
                                     const struct gr_error *error,
                                     void *context),
                       void *context)
{
  send_call (kv, cause, "/v3/lease/keepalive", CALL_KEEPALIVE,
             gr_kv_encode_lease (0, lease), timeout_ms, done, context);
}

void
gr_kv_lease_revoke (struct gr_kv *kv,
                    const char *cause,
                    int64_t lease,
                    uint32_t timeout_ms,
                    void (*done) (const struct gr_kv_result *result,
                                  const struct gr_error *error,
                                  void *context),
                    void *context)
{
  send_call (kv, cause, "/v3/lease/revoke", CALL_WRITE,
             gr_kv_encode_lease (0, lease), timeout_ms, done, context);
}
