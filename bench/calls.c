#include "bench/bench.h"

#include "common/deadlines.h"
#include "http/call-pool.h"
#include "http/http.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Processor time and bytes of a call from an owner to a worker, for the general
 * HTTP client and for the pool. A thread plays the workers; only the time of
 * the client's thread counts. */

#define N_WORKERS 120
#define N_CALLS 20000
#define CALLS_IN_FLIGHT 64
#define TIMEOUT_MS 10000

/* As in the worker calls before they used the pool. */
#define ADDRESSES_PER_SESSION 2
#define CONNECTIONS 3

/* As long as a status poll and the report of an idle worker. */
static const char body[] = "{\"a\":\"0123456789012345678901234567890123456789"
                           "0123456789012345678901\"}";
static const char response[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 52\r\n\r\n"
    "{\"a\":\"01234567890123456789012345678901234567890123\"}";

struct workers
{
  int epoll_fd;
  int listeners[N_WORKERS];
  char addresses[N_WORKERS][32];
  uint64_t received_bytes; /* written by the thread, read after it has ended */
  int stop;                /* atomic */
};

struct load
{
  struct workers *workers;
  struct gr_http *sessions[N_WORKERS / ADDRESSES_PER_SESSION];
  struct gr_call_pool *pool;
  uint32_t started;
  uint32_t finished;
  uint32_t failed;
};

static void
watch (struct workers *workers, int fd)
{
  struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

  g_assert (epoll_ctl (workers->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0);
}

static bool
is_listener (const struct workers *workers, int fd)
{
  for (size_t i = 0; i < N_WORKERS; i++)
    if (workers->listeners[i] == fd)
      return true;
  return false;
}

/* Each request arrives in one piece: it is small, and the client waits for the
 * response. */
static void *
run_workers (void *data)
{
  struct workers *workers = data;
  struct epoll_event events[64];
  char buffer[4096];

  while (!g_atomic_int_get (&workers->stop))
    {
      int n = epoll_wait (workers->epoll_fd, events, G_N_ELEMENTS (events), 50);

      for (int i = 0; i < n; i++)
        {
          int fd = events[i].data.fd;
          ssize_t size;

          if (is_listener (workers, fd))
            {
              watch (workers, accept (fd, NULL, NULL));
              continue;
            }
          size = recv (fd, buffer, sizeof buffer, 0);
          if (size <= 0)
            {
              close (fd);
              continue;
            }
          workers->received_bytes += (uint64_t)size;
          g_assert (send (fd, response, strlen (response), MSG_NOSIGNAL) > 0);
        }
    }
  return NULL;
}

static void
workers_open (struct workers *workers)
{
  memset (workers, 0, sizeof *workers);
  workers->epoll_fd = epoll_create1 (0);
  for (size_t i = 0; i < N_WORKERS; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t size = sizeof address;
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      g_assert (bind (fd, (struct sockaddr *)&address, sizeof address) == 0);
      g_assert (listen (fd, 64) == 0);
      g_assert (getsockname (fd, (struct sockaddr *)&address, &size) == 0);
      g_snprintf (workers->addresses[i], sizeof workers->addresses[i],
                  "127.0.0.1:%u", ntohs (address.sin_port));
      workers->listeners[i] = fd;
      watch (workers, fd);
    }
}

static void
workers_close (struct workers *workers)
{
  for (size_t i = 0; i < N_WORKERS; i++)
    close (workers->listeners[i]);
  close (workers->epoll_fd);
}

static void start_call (struct load *load);

static void
call_ended (struct load *load, const struct gr_error *error)
{
  load->finished++;
  if (error != NULL)
    load->failed++;
  if (load->started < N_CALLS)
    start_call (load);
}

static void
http_done (const struct gr_http_response *answer,
           const struct gr_error *error,
           void *context)
{
  (void)answer;
  call_ended (context, error);
}

static void
pool_done (const struct gr_pool_response *answer,
           const struct gr_error *error,
           void *context)
{
  (void)answer;
  call_ended (context, error);
}

static void
start_http_call (struct load *load, uint32_t worker)
{
  g_autofree char *url =
      g_strdup_printf ("http://%s/v1/call", load->workers->addresses[worker]);
  const char *headers[] = { "X-Expect-Instance", "i-0123456789", NULL };
  g_autoptr (GBytes) bytes = g_bytes_new_static (body, strlen (body));
  struct gr_http_request request = {
    .method = "POST",
    .url = url,
    .content_type = "application/json",
    .body = bytes,
    .headers = headers,
    .may_resend = true,
    .timeout_ms = TIMEOUT_MS,
  };

  gr_http_call (load->sessions[worker / ADDRESSES_PER_SESSION], &request,
                http_done, load);
}

static void
start_call (struct load *load)
{
  uint32_t worker = load->started++ % N_WORKERS;
  struct gr_pool_request request = {
    .address = load->workers->addresses[worker],
    .path = "/v1/call",
    .headers = "X-Expect-Instance: i-0123456789\r\n",
    .body = body,
    .size = strlen (body),
    .timeout_ms = TIMEOUT_MS,
  };

  if (load->pool == NULL)
    start_http_call (load, worker);
  else
    gr_call_pool_send (load->pool, &request, pool_done, load);
}

static double
thread_time_us (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void
run_calls (bool use_pool, uint32_t seed)
{
  struct bench_case bench_case = {
    .load = use_pool ? "call-pool" : "gr-http",
    .seed = seed,
  };
  struct workers workers;
  struct load load = { .workers = &workers };
  struct gr_deadlines *deadlines = gr_deadlines_create ();
  double start_us;
  GThread *thread;

  workers_open (&workers);
  thread = g_thread_new ("workers", run_workers, &workers);
  if (use_pool)
    load.pool = gr_call_pool_create (CONNECTIONS, NULL);
  else
    for (size_t i = 0; i < G_N_ELEMENTS (load.sessions); i++)
      load.sessions[i] = gr_http_create_shared (CONNECTIONS, deadlines);
  start_us = thread_time_us ();
  for (uint32_t i = 0; i < CALLS_IN_FLIGHT; i++)
    start_call (&load);
  while (load.finished < N_CALLS)
    g_main_context_iteration (NULL, TRUE);
  bench_row (&bench_case, "processor_per_call",
             (thread_time_us () - start_us) / N_CALLS, "us");
  bench_row (&bench_case, "failed_calls", load.failed, "calls");
  gr_call_pool_destroy (load.pool);
  for (size_t i = 0; i < G_N_ELEMENTS (load.sessions); i++)
    gr_http_destroy (load.sessions[i]);
  gr_deadlines_destroy (deadlines);
  g_atomic_int_set (&workers.stop, 1);
  g_thread_join (thread);
  bench_row (&bench_case, "request_bytes",
             (double)workers.received_bytes / N_CALLS, "bytes");
  workers_close (&workers);
}

void
bench_calls (const struct bench_deployment *deployment, uint32_t seed)
{
  (void)deployment;
  run_calls (false, seed);
  run_calls (true, seed);
}
