/* Calls of an owner to a worker that starts again under its id and address. A
 * lease is granted until a time on the clock of one process. The clock of the
 * next process starts anew, so the same time is far ahead there. That process
 * shortens the lease to MAX_HOLD, which no owner waits for.
 *
 * Rules: a call that grants a lease or acknowledges an end is composed for one
 * process, with a deadline on its clock, and is written only to a connection on
 * which that process has answered. If the connection fails before the answer,
 * the call may be sent again once, under the same rule. A status poll, which
 * grants and acknowledges nothing, may be written to any connection; only its
 * answer makes the clock of a process known. The entry of the worker in the
 * registry shows that there is a new process, but neither its clock nor that it
 * is the one behind a connection. An earlier process never replaces the known
 * one.
 *
 * Invariant: the lease of a process ends no later than the owner reckons for
 * that process, and there is none if the owner has not heard of the process. No
 * call acknowledges an end at another process than the one that has listed it.
 * There is one task, which never runs twice at the same time. The owner starts
 * it elsewhere when its lease has expired, or when another process has replaced
 * the one on which it ran. A successor that cannot reach the worker starts it
 * elsewhere after ISOLATION + LEASE, or LEASE after the owner has announced
 * that it sends nothing more.
 *
 * Calls and answers may be lost or delayed at any moment, and answers on
 * different connections overtake each other. A call is carried out at any later
 * time, also after the client has closed its connection. A composed call may
 * wait for a connection for any time, and one that is sent again may be carried
 * out twice. Times only count down, so the search has no horizon. Drift of
 * clocks is not in the model, nor are late readings of a clock, which only make
 * deadlines earlier. Fences and successors that reach the worker are in
 * former-owner.pml.
 *
 * Assumed: a call is carried out, however late, only by the process that has
 * accepted its connection, and the answer comes on the same connection. That
 * process may be any that exists at some time after the connection was opened,
 * also after bytes were written to it. A proxy satisfies this if it pairs each
 * connection of a client with one connection to a server. Without it the rules
 * do not suffice: CALL_OUTLIVES_PROCESS shows this limit. Also assumed: start
 * times order the processes.
 *
 * A mutant (-DNAME) removes one rule, or the first assumption, and must be
 * caught:
 *   GRANT_ON_NEW_CONNECTION   calls that grant or acknowledge are also written
 *                             to a connection without an answer
 *   RESEND_ANYWHERE           a call is sent again on any connection
 *   IDENTITY_OF_ADDRESS       a new connection is taken for one to the process
 *                             that is known at the address
 *   STALE_CLOCK               the clock of the former process is kept when
 *                             another one becomes known
 *   ACKNOWLEDGE_ANYWHERE      status polls acknowledge ends
 *   STALE_END                 the number of an end is kept when another process
 *                             becomes known
 *   LATE_ANSWER_SETS_IDENTITY a late answer of a former process makes it the
 *                             known one again
 *   LATE_ANSWER_SETS_CLOCK    such an answer replaces only the known clock
 *   COUNT_FROM_WRITE          a lease is counted from when the call is written,
 *                             not from when it is composed
 *   SHORT_WAIT                the successor's wait is one tick too short
 *   CALL_OUTLIVES_PROCESS     the next process carries out calls of connections
 *                             that the former one has accepted
 */
#ifndef N_CONNECTIONS
#define N_CONNECTIONS 2
#endif
#ifndef N_PROCESSES
#define N_PROCESSES 3
#endif

#define ISOLATION 1
#define LEASE 2
#define MAX_HOLD 3
#define DEADLINE 1  /* of a start */

#ifdef SHORT_WAIT
#define MARGIN 1
#else
#define MARGIN 0
#endif

#define NONE N_PROCESSES

mtype = { no_call, status_poll, poll, start };
mtype = { idle, sent, answered };
mtype = { present, isolated, stopped };
mtype = { waiting, placed, elsewhere };

/* The worker. */
byte process = 0;
byte lease = 0;
bool running = false;

/* The owner. */
mtype state = present;
byte send_left = 0;         /* ticks until an isolated owner stops */
byte known = NONE;          /* latest process that it has heard of */
byte clock_of = NONE;       /* process whose clock it has read */
byte lease_bound = 0;       /* ticks until a lease of the known process ends */
byte end_of = NONE;         /* process that has listed an end */
mtype place = waiting;      /* of the task */

/* The successor. */
byte wait_left = 0;

bool runs_elsewhere = false;

typedef call {
  mtype kind = no_call;
  byte process = NONE;      /* for which it is composed */
  byte clock_of = NONE;     /* process on whose clock the deadline is */
  byte end_of = NONE;       /* process whose end it acknowledges */
  byte left = 0;            /* ticks until the deadline */
  bool resent = false
};

/* A connection that the client has closed stays while its call can be carried
 * out. */
typedef connection {
  bool is_open = false;
  byte accepted_by = NONE;
  byte identity = NONE;     /* process that has answered */
  mtype phase = idle;
  call c
};

call queued;                /* waits for a connection */
connection connections[N_CONNECTIONS];

#define CONN connections[n]
#define CALL connections[n].c

#if defined GRANT_ON_NEW_CONNECTION
#define MAY_WRITE(n) \
  (CONN.identity == queued.process || CONN.identity == NONE)
#elif defined RESEND_ANYWHERE
#define MAY_WRITE(n) (CONN.identity == queued.process || queued.resent)
#else
#define MAY_WRITE(n) (CONN.identity == queued.process)
#endif

#ifdef IDENTITY_OF_ADDRESS
#define FIRST_IDENTITY known
#else
#define FIRST_IDENTITY NONE
#endif

#ifdef ACKNOWLEDGE_ANYWHERE
#define END_OF_STATUS_POLL end_of
#else
#define END_OF_STATUS_POLL NONE
#endif

#ifdef LATE_ANSWER_SETS_IDENTITY
#define REPLACES_KNOWN(p) (known != p)
#else
#define REPLACES_KNOWN(p) (known == NONE || known < p)
#endif

#ifdef CALL_OUTLIVES_PROCESS
#define REACHES_PROCESS(n) (CONN.accepted_by != NONE)
#else
#define REACHES_PROCESS(n) (CONN.accepted_by == process)
#endif

/* The owner waits for the lease that the present process holds. */
#define LEASE_IS_COUNTED \
  (lease == 0 || (known == process && lease <= lease_bound))

inline clear_call (x)
{
  x.kind = no_call;
  x.process = NONE;
  x.clock_of = NONE;
  x.end_of = NONE;
  x.left = 0;
  x.resent = false
}

inline copy_call (to, from)
{
  to.kind = from.kind;
  to.process = from.process;
  to.clock_of = from.clock_of;
  to.end_of = from.end_of;
  to.left = from.left;
  to.resent = from.resent
}

inline clear_connection (n)
{
  CONN.is_open = false;
  CONN.accepted_by = NONE;
  CONN.identity = NONE;
  CONN.phase = idle;
  clear_call (CALL)
}

inline learn_process (p)
{
  if
  :: REPLACES_KNOWN (p) ->
     known = p;
     lease_bound = 0;
#ifndef STALE_CLOCK
     clock_of = NONE;
#endif
#ifndef STALE_END
     end_of = NONE;
#endif
     /* An isolated owner draws no conclusion from that. */
     if
     :: state == present && place == placed -> place = waiting
     :: else
     fi
  :: else
  fi;
  assert (LEASE_IS_COUNTED)
}

inline count_lease (term)
{
  lease_bound = (lease_bound > term -> lease_bound : term)
}

inline compose (call_kind, term)
{
  queued.kind = call_kind;
  queued.process = known;
  queued.clock_of = clock_of;
  queued.left = term;
#ifndef COUNT_FROM_WRITE
  count_lease (term)
#endif
}

/* Without a clock a call has no deadline. */
#define MAY_COMPOSE \
  (state != stopped && queued.kind == no_call && clock_of != NONE)

/* The client closes the connection. Without an answer its call may still be
 * carried out, which has no effect if it is a status poll. */
inline close_connection (n)
{
  if
  :: (CONN.phase == sent && CALL.kind != status_poll
      && (CONN.accepted_by == NONE || CONN.accepted_by >= process)) ->
     CONN.is_open = false;
     CONN.identity = NONE
  :: else -> clear_connection (n)
  fi
}

/* What only the owner itself uses is cleared. Calls under way remain. */
inline stop_owner ()
{
  state = stopped;
  send_left = 0;
  clock_of = NONE;
  end_of = NONE;
  place = waiting;
  clear_call (queued);
  for (i : 0 .. N_CONNECTIONS - 1) {
    if
    :: connections[i].is_open -> close_connection (i)
    :: else
    fi
  }
  i = 0
}

proctype owner ()
{
  byte i = 0;

end_owner:
  do
  :: d_step { MAY_COMPOSE ->
       compose (poll, LEASE);
       queued.end_of = end_of }
  :: d_step { MAY_COMPOSE && place == waiting ->
       compose (start, DEADLINE);
       place = placed }
  /* The entry of the worker in the registry. */
  :: d_step { state != stopped && (known == NONE || known < process) ->
       learn_process (process) }
  /* The lease has expired. */
  :: d_step { state == present && place == placed && lease_bound == 0 ->
       place = waiting }
  :: d_step { state == present && place == waiting ->
       assert (!running);
       place = elsewhere;
       runs_elsewhere = true }
  :: d_step { state == present && place == elsewhere ->
       place = waiting;
       runs_elsewhere = false }
  /* Its own lease has ended, and there is a successor. */
  :: d_step { state == present ->
       state = isolated;
       send_left = ISOLATION;
       wait_left = ISOLATION + LEASE - MARGIN }
  /* It announces that it sends nothing more. */
  :: d_step { state == isolated ->
       stop_owner ();
       wait_left = (wait_left > LEASE - MARGIN -> LEASE - MARGIN : wait_left) }
  /* The queued call fails without being sent. */
  :: d_step { queued.kind != no_call -> clear_call (queued) }
  od
}

proctype successor ()
{
end_successor:
  do
  :: d_step { state != present && wait_left == 0 && !runs_elsewhere ->
       assert (!running);
       runs_elsewhere = true }
  od
}

inline carry_out (n)
{
  /* The process may have ends at any time. */
  assert (CALL.end_of == NONE || CALL.end_of == process);
  if
  :: CALL.kind != status_poll && CALL.clock_of != process ->
     lease = MAX_HOLD
  :: CALL.kind != status_poll && CALL.clock_of == process ->
     lease = (lease > CALL.left -> lease : CALL.left)
  :: else
  fi;
  assert (LEASE_IS_COUNTED);
  if
  :: CALL.kind == start && (CALL.clock_of != process || CALL.left > 0) ->
     assert (!runs_elsewhere);
     running = true
  :: else
  fi;
  if
  :: CONN.is_open ->
     CONN.phase = answered;
     CONN.accepted_by = process  /* another one in CALL_OUTLIVES_PROCESS only */
  :: else -> clear_connection (n)
  fi
}

inline read_answer (n, lists_end)
{
  CONN.identity = CONN.accepted_by;
  learn_process (CONN.accepted_by);
  if
  :: CONN.accepted_by == known ->
     clock_of = known;
     if
     :: lists_end -> end_of = known
     :: else
     fi
  :: else ->
#ifdef LATE_ANSWER_SETS_CLOCK
     clock_of = CONN.accepted_by
#else
     skip
#endif
  fi;
  CONN.phase = idle;
  clear_call (CALL)
}

/* One connection of the client, or one call on its way. */
proctype channel (byte n)
{
end_channel:
  do
  :: d_step { state != stopped && !CONN.is_open && CONN.phase == idle ->
       CONN.is_open = true;
       CONN.identity = FIRST_IDENTITY }
  :: d_step { (CONN.accepted_by == NONE
              && (CONN.is_open || CONN.phase == sent)) ->
       CONN.accepted_by = process }
  :: d_step { CONN.is_open && CONN.phase == idle ->
       CONN.phase = sent;
       CALL.kind = status_poll;
       CALL.end_of = END_OF_STATUS_POLL }
  :: d_step { (CONN.is_open && CONN.phase == idle && queued.kind != no_call
              && MAY_WRITE (n)) ->
       CONN.phase = sent;
       copy_call (CALL, queued);
#ifdef COUNT_FROM_WRITE
       if
       :: queued.process == known -> count_lease (queued.left)
       :: else
       fi;
#endif
       clear_call (queued) }
  :: d_step { CONN.phase == sent && REACHES_PROCESS (n) -> carry_out (n) }
  :: d_step { CONN.is_open && CONN.phase == answered -> read_answer (n, false) }
  :: d_step { CONN.is_open && CONN.phase == answered -> read_answer (n, true) }
  /* The connection fails, and the call is sent again. */
  :: d_step { (CONN.is_open && CONN.phase != idle && CALL.kind != status_poll
              && !CALL.resent && queued.kind == no_call) ->
       copy_call (queued, CALL);
       queued.resent = true;
       close_connection (n) }
  :: d_step { CONN.is_open -> close_connection (n) }
  /* A call that is lost. */
  :: d_step { !CONN.is_open && CONN.phase == sent -> clear_connection (n) }
  od
}

/* A machine that is down for a while is one that calls do not reach. */
inline restart ()
{
  lease = 0;
  running = false;
  process++;
#ifndef CALL_OUTLIVES_PROCESS
  for (i : 0 .. N_CONNECTIONS - 1) {
    if
    :: (!connections[i].is_open && connections[i].accepted_by != NONE) ->
       clear_connection (i)
    :: else
    fi
  }
  i = 0
#endif
}

proctype worker ()
{
  byte i = 0;

end_worker:
  do
  :: d_step { process < N_PROCESSES - 1 -> restart () }
  od
}

#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

inline pass_tick ()
{
  if
  :: state == isolated && send_left == 0 -> stop_owner ()
  :: state == isolated && send_left > 0 -> send_left--
  :: else
  fi;
  COUNT_DOWN (wait_left);
  COUNT_DOWN (lease_bound);
  COUNT_DOWN (queued.left);
  for (i : 0 .. N_CONNECTIONS - 1) {
    COUNT_DOWN (connections[i].c.left)
  }
  i = 0;
  if
  :: lease == 1 -> lease = 0; running = false
  :: lease > 1 -> lease--
  :: else
  fi
}

proctype clock ()
{
  byte i = 0;

end_clock:
  do
  :: d_step { true -> pass_tick () }
  od
}

init
{
  byte i;

  atomic {
    run owner ();
    run successor ();
    run worker ();
    run clock ();
    for (i : 0 .. N_CONNECTIONS - 1) {
      run channel (i)
    }
  }
}
