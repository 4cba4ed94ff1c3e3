#include "instance/advice-calls.h"

#include "common/log.h"
#include "platform/advice.h"

struct gr_advice_calls
{
  struct gr_steps *steps;
  const struct gr_clock *clock;
  struct gr_advice_client *client; /* NULL if no advice service is configured */
  void (*changed) (void *context);
  void *context;
};

struct advice_call
{
  struct gr_advice_calls *calls;
  struct gr_advice_request request;
};

struct gr_advice_calls *
gr_advice_calls_create (const struct gr_owner_deps *deps,
                        struct gr_steps *steps,
                        void (*changed) (void *context),
                        void *context)
{
  struct gr_advice_calls *calls = g_new0 (struct gr_advice_calls, 1);
  const char *address = deps->settings->advice_address;

  calls->steps = steps;
  calls->clock = deps->clock;
  calls->changed = changed;
  calls->context = context;
  if (address[0] != '\0')
    calls->client = gr_advice_client_create (address, deps->counters);
  return calls;
}

/* Destroying the client ends pending requests with kind cancelled, before the
 * core is destroyed. */
void
gr_advice_calls_destroy (struct gr_advice_calls *calls)
{
  if (calls == NULL)
    return;
  gr_advice_client_destroy (calls->client);
  g_free (calls);
}

static enum gr_advice_result
get_result (const struct gr_error *error)
{
  if (error == NULL)
    return GR_ADVICE_ANSWERED;
  if (error->kind == GR_ERROR_NO_TARGET)
    return GR_ADVICE_NOT_SENT;
  if (error->kind == GR_ERROR_OVERLOADED)
    return GR_ADVICE_OVERLOADED;
  return GR_ADVICE_FAILED;
}

static void
advice_done (const struct gr_advice_row *rows,
             uint32_t n_rows,
             int64_t valid_ms,
             const struct gr_error *error,
             void *context)
{
  struct advice_call *call = context;
  struct gr_advice_calls *calls = call->calls;
  struct gr_advice_answer answer = { .result = get_result (error),
                                     .rows = rows,
                                     .n_rows = n_rows,
                                     .valid_ms = valid_ms };

  if (error != NULL && error->kind != GR_ERROR_CANCELLED)
    gr_log_event ("advice-failed", "step", call->request.step, "reason",
                  error->message, NULL);
  gr_steps_advice_reply (calls->steps, &call->request, &answer,
                         gr_clock_now_ms (calls->clock));
  g_free (call);
  if (error == NULL)
    calls->changed (calls->context);
}

static void
send_request (struct gr_advice_calls *calls,
              const struct gr_advice_request *request)
{
  struct advice_call *call = g_new0 (struct advice_call, 1);

  call->calls = calls;
  call->request = *request;
  gr_advice_client_request (calls->client, request, GR_ADVICE_CALL_LIMIT_MS,
                            (struct gr_advice_reply){ advice_done, call });
}

void
gr_advice_calls_run (struct gr_advice_calls *calls)
{
  struct gr_advice_request request;

  while (gr_steps_take_advice_request (calls->steps, &request))
    {
      if (calls->client != NULL)
        {
          send_request (calls, &request);
          continue;
        }
      gr_log_warning ("advice-missing", "step", request.step, "reason",
                      "advice_address is not set", NULL);
      gr_steps_advice_reply (
          calls->steps, &request,
          &(struct gr_advice_answer){ .result = GR_ADVICE_NOT_SENT },
          gr_clock_now_ms (calls->clock));
    }
}
