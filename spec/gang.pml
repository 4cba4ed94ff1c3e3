/* How long part of a gang of two tasks can run alone. Time passes in ticks; a
 * lease has TERM ticks when it is granted or renewed. The owner may die at any
 * moment, a member may die at any moment. Property: the time for which one
 * member runs and the other does not is at most one lease term and the
 * DETECT ticks in which the owner notices a silent member. Mutants:
 *   RENEW_BLIND       the owner renews although a member is silent
 *   START_UNTHROTTLED tasks run as soon as they are started
 *   NO_TERM           leases do not lapse
 */
#define TERM 3
#define DETECT 1
#define MAX_TICKS 12

byte left[2];        /* ticks left of the lease; 0: none */
byte task[2];        /* 0: none, 1: throttled to zero, 2: runs */
bool dead[2];
bool all_started = false;
bool ended = false;  /* the whole gang ran to its end */
byte alone = 0;      /* ticks in which one member ran without the other */
byte ticks = 0;

inline begin_to_run (i)
{
  /* No part runs before the whole gang was started. */
  assert (all_started);
  task[i] = 2
}

proctype owner ()
{
  byte w = 0;

  /* Leases first. */
  atomic { left[0] = TERM; left[1] = TERM };
  do
  :: w < 2 ->
     atomic {
       if
       :: left[w] > 0 && !dead[w] ->
#ifdef START_UNTHROTTLED
          begin_to_run (w);
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
       :: left[w] > 0 && !dead[w] && task[w] > 0 -> begin_to_run (w); w++
       :: else -> goto stop
       fi
     }
  :: else -> break
  od;
  do
  :: atomic { (left[0] > 0 && left[1] > 0 && !dead[0] && !dead[1]) ->
       left[0] = TERM; left[1] = TERM }
#ifdef RENEW_BLIND
  :: atomic { left[0] > 0 && dead[1] -> left[0] = TERM }
  :: atomic { left[1] > 0 && dead[0] -> left[1] = TERM }
#else
  :: dead[0] || dead[1] || left[0] == 0 || left[1] == 0 -> goto stop
#endif
  :: atomic { task[0] == 2 && task[1] == 2 -> ended = true; task[0] = 0;
              task[1] = 0; left[0] = 0; left[1] = 0 }; goto end
  :: goto end       /* the owner dies */
  :: ticks == MAX_TICKS -> goto end
  od;
stop:
  if
  :: atomic { task[0] = 0; left[0] = 0 }
  :: true           /* the owner dies, or the call is lost */
  fi;
  if
  :: atomic { task[1] = 0; left[1] = 0 }
  :: true
  fi;
end:
  skip
}

proctype deaths ()
{
  if
  :: atomic { dead[0] = true; task[0] = 0; left[0] = 0 }
  :: atomic { dead[1] = true; task[1] = 0; left[1] = 0 }
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
#ifndef NO_TERM
          :: left[w] > 1 -> left[w]--
          :: left[w] == 1 -> left[w] = 0; task[w] = 0
#endif
          :: else
          fi;
          w++
       :: else -> break
       od;
       w = 0;
       if
       :: (task[0] == 2) != (task[1] == 2) -> alone++
       :: else
       fi;
       assert (alone <= TERM + DETECT)
     }
  :: else -> break
  od
}

init
{
  atomic { run owner (); run deaths (); run clock () }
}
