#include "instance/owner-load.h"

#include "common/log.h"

#define MIN_PASS_DELAY_MS 8
#define MAX_PASS_DELAY_MS 60

/* Passes take at most about one part in this many of the processor. */
#define PASS_DELAY_FACTOR 5

/* Weight of the newest pass in the smoothed time. */
#define PASS_TIME_WEIGHT (1.0 / 8)

#define LOG_PERIOD_MS 5000

#define NUMBER_SIZE 24

void
gr_owner_load_add_pass (struct gr_owner_load *load, int64_t time_us)
{
  load->passes++;
  load->passes_us += time_us;
  load->pass_ms += ((double)time_us / 1000 - load->pass_ms) * PASS_TIME_WEIGHT;
}

uint32_t
gr_owner_load_pass_delay_ms (const struct gr_owner_load *load)
{
  return (uint32_t)CLAMP (load->pass_ms * PASS_DELAY_FACTOR, MIN_PASS_DELAY_MS,
                          MAX_PASS_DELAY_MS);
}

static const char *
print_number (char text[NUMBER_SIZE], int64_t number)
{
  g_snprintf (text, NUMBER_SIZE, "%" G_GINT64_FORMAT, number);
  return text;
}

void
gr_owner_load_log (struct gr_owner_load *load,
                   int64_t now_ms,
                   const struct gr_lateness *lateness,
                   const struct gr_steps_counts *counts,
                   const struct gr_worker_traffic *traffic)
{
  const struct gr_worker_traffic *before = &load->traffic;
  char text[11][NUMBER_SIZE];

  if (now_ms - load->logged_ms < LOG_PERIOD_MS)
    return;
  gr_log_event (
      "owner-load", "loop-late-ms", print_number (text[0], lateness->loop_ms),
      "response-ms", print_number (text[1], (int64_t)lateness->response_ms),
      "orders", print_number (text[2], counts->orders), "tasks-waiting",
      print_number (text[3], counts->tasks_waiting), "tasks-running",
      print_number (text[4], counts->tasks_running), "passes",
      print_number (text[5], load->passes), "pass-us",
      print_number (text[6],
                    load->passes > 0 ? load->passes_us / load->passes : 0),
      "calls",
      print_number (text[7], (int64_t)(traffic->calls - before->calls)),
      "connections",
      print_number (text[8],
                    (int64_t)(traffic->connections - before->connections)),
      "sent-bytes",
      print_number (text[9],
                    (int64_t)(traffic->sent_bytes - before->sent_bytes)),
      "received-bytes",
      print_number (text[10], (int64_t)(traffic->received_bytes
                                        - before->received_bytes)),
      NULL);
  load->logged_ms = now_ms;
  load->passes = 0;
  load->passes_us = 0;
  load->traffic = *traffic;
}
