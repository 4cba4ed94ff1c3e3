/* Time for which only one task of a gang of two tasks can run. Time passes in
 * ticks; a lease has TERM ticks when it is granted or renewed. The owner and
 * the members may fail at any moment. Property: the time for which one member
 * runs and the other does not is at most one lease term plus the DETECT ticks
 * that the owner needs to detect an unresponsive member. Mutants:
 *   RENEW_UNCHECKED   the owner renews although a member is unresponsive
 *   START_UNTHROTTLED tasks run as soon as they are started
 *   NO_EXPIRY         leases do not expire
 */
#define TERM 3
#define DETECT 1
#define MAX_TICKS 12

byte lease_ticks[2];     /* remaining ticks of the lease; 0: no lease */
byte task[2];            /* 0: none, 1: throttled to zero, 2: running */
bool member_failed[2];
bool all_started = false;
bool ended = false;      /* the whole gang finished */
byte partial_ticks = 0;  /* ticks in which only one member ran */
byte ticks = 0;

inline unthrottle (i)
{
  /* No task runs before the whole gang has been started. */
  assert (all_started);
  task[i] = 2
}

proctype owner ()
{
  byte w = 0;

  /* Grants all leases before it starts a task. */
  atomic { lease_ticks[0] = TERM; lease_ticks[1] = TERM };
  do
  :: w < 2 ->
     atomic {
       if
       :: lease_ticks[w] > 0 && !member_failed[w] ->
#ifdef START_UNTHROTTLED
          unthrottle (w);
#else
          task[w] = 1;
#endif
          w++
       :: else -> goto stop
       fi
     }
  :: else -> break
  od;
  all_started = true;
  w = 0;
  do
  :: w < 2 ->
     atomic {
       if
       :: lease_ticks[w] > 0 && !member_failed[w] && task[w] > 0 ->
          unthrottle (w);
          w++
       :: else -> goto stop
       fi
     }
  :: else -> break
  od;
  do
  :: atomic { (lease_ticks[0] > 0 && lease_ticks[1] > 0 && !member_failed[0]
               && !member_failed[1]) ->
       lease_ticks[0] = TERM; lease_ticks[1] = TERM }
#ifdef RENEW_UNCHECKED
  :: atomic { lease_ticks[0] > 0 && member_failed[1] -> lease_ticks[0] = TERM }
  :: atomic { lease_ticks[1] > 0 && member_failed[0] -> lease_ticks[1] = TERM }
#else
  :: member_failed[0] || member_failed[1] || lease_ticks[0] == 0 ||
     lease_ticks[1] == 0 -> goto stop
#endif
  :: atomic { task[0] == 2 && task[1] == 2 -> ended = true; task[0] = 0;
              task[1] = 0; lease_ticks[0] = 0; lease_ticks[1] = 0 };
     goto end
  :: goto end       /* the owner fails */
  :: ticks == MAX_TICKS -> goto end
  od;
stop:
  if
  :: atomic { task[0] = 0; lease_ticks[0] = 0 }
  :: true           /* the owner fails, or the call is lost */
  fi;
  if
  :: atomic { task[1] = 0; lease_ticks[1] = 0 }
  :: true
  fi;
end:
  skip
}

proctype member_failures ()
{
  if
  :: atomic { member_failed[0] = true; task[0] = 0; lease_ticks[0] = 0 }
  :: atomic { member_failed[1] = true; task[1] = 0; lease_ticks[1] = 0 }
  :: true
  fi
}

proctype clock ()
{
  byte w;

  do
  :: ticks < MAX_TICKS ->
     d_step {
       ticks++;
       w = 0;
       do
       :: w < 2 ->
          if
#ifndef NO_EXPIRY
          :: lease_ticks[w] > 1 -> lease_ticks[w]--
          :: lease_ticks[w] == 1 -> lease_ticks[w] = 0; task[w] = 0
#endif
          :: else
          fi;
          w++
       :: else -> break
       od;
       w = 0;
       if
       :: (task[0] == 2) != (task[1] == 2) -> partial_ticks++
       :: else
       fi;
       assert (partial_ticks <= TERM + DETECT)
     }
  :: else -> break
  od
}

init
{
  atomic { run owner (); run member_failures (); run clock () }
}
