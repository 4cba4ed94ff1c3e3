/* Settings: two changes of one path, three entry instances, a store that may
 * be unreachable for any of them, and restarts. A change is accepted after the
 * store write and the acknowledgement of two of three loaded instances. An
 * instance serves only while its known revision was confirmed within WINDOW
 * ticks. Properties: the known revision of an instance never decreases until
 * the instance restarts; an instance that serves has every revision that was
 * accepted more than WINDOW ticks ago. Mutants:
 *   MINORITY           one acknowledgement is sufficient
 *   ANY_ORDER          an older document replaces a newer one
 *   NO_EXPIRY          a confirmation never expires
 *   COUNT_UNLOADED     an instance that has not read the store is counted
 *   CONFIRM_AT_END     the window counts from the end of a read, not its start
 */
#define N 3
#define WINDOW 1
#define MAX_REVISION 2
#define MAX_TICKS 3

byte stored = 0;             /* revision in the store */
byte accepted_revision = 0;
byte accepted_age = 0;       /* ticks since the acceptance, up to WINDOW + 1 */
byte known[N];
bool loaded[N];
byte serve_ticks[N];         /* ticks for which it may serve */
byte read_ticks[N];          /* ticks since its read started, up to WINDOW */
bool restarted = false;
byte ticks = 0;

#ifdef MINORITY
#define NEEDED 1
#else
#define NEEDED 2
#endif

inline apply (i, revision)
{
#ifdef ANY_ORDER
  assert (revision >= known[i]);
  known[i] = revision
#else
  if
  :: revision > known[i] -> known[i] = revision
  :: else
  fi
#endif
}

inline confirm (i)
{
#ifdef CONFIRM_AT_END
  serve_ticks[i] = WINDOW
#else
  if
  :: WINDOW - read_ticks[i] > serve_ticks[i] ->
     serve_ticks[i] = WINDOW - read_ticks[i]
  :: else
  fi
#endif
}

inline check_serving (i)
{
  assert (!(loaded[i] && serve_ticks[i] > 0 && accepted_age > WINDOW
            && known[i] < accepted_revision))
}

proctype instance (byte i)
{
  byte snapshot;
  byte peer;

  do
  :: /* Reads from the store. */
     d_step { ticks < MAX_TICKS -> snapshot = stored; read_ticks[i] = 0 };
     if
     :: d_step { apply (i, snapshot); loaded[i] = true; confirm (i);
                 check_serving (i); snapshot = 0; read_ticks[i] = WINDOW }
     :: /* No response. */
        d_step { true -> snapshot = 0; read_ticks[i] = WINDOW }
     fi
  :: /* Queries one peer; the two are a majority of three. A query that takes
      * longer than a tick confirms nothing, so it is one step here. */
     atomic {
       loaded[i] && ticks < MAX_TICKS ->
       if
       :: peer = (i + 1) % N
       :: peer = (i + 2) % N
       fi;
       d_step {
         if
#ifndef COUNT_UNLOADED
         :: !loaded[peer] -> skip
#endif
         :: else ->
            apply (i, known[peer]);
            serve_ticks[i] = WINDOW;
            check_serving (i)
         fi;
         peer = 0
       }
     }
  :: d_step { !restarted && loaded[i] -> restarted = true; loaded[i] = false;
              known[i] = 0; serve_ticks[i] = 0 }
  :: ticks == MAX_TICKS -> break
  od
}

proctype writer ()
{
  byte acknowledged;
  byte i;

  do
  :: stored < MAX_REVISION && ticks < MAX_TICKS ->
     stored++;
     atomic {
       acknowledged = 0;
       i = 0;
       do
       :: i < N ->
          if
          :: d_step {
#ifndef COUNT_UNLOADED
               loaded[i] ->
#endif
               apply (i, stored); acknowledged++ }
          :: true    /* instance not reached */
          fi;
          i++
       :: else -> break
       od;
       i = 0
     };
     d_step {
       if
       :: acknowledged >= NEEDED ->
          accepted_revision = stored;
          accepted_age = 0
       :: else
       fi;
       acknowledged = 0
     }
  :: break
  od
}

proctype late_push ()
{
  /* A push of the first revision that arrives at any time. */
  if
  :: d_step { stored >= 1 && loaded[0] -> apply (0, 1) }
  :: true
  fi
}

proctype clock ()
{
  byte i;

  do
  :: ticks < MAX_TICKS ->
     d_step {
       ticks++;
       if
       :: accepted_revision > 0 && accepted_age <= WINDOW -> accepted_age++
       :: else
       fi;
       i = 0;
       do
       :: i < N ->
#ifndef NO_EXPIRY
          if
          :: serve_ticks[i] > 0 -> serve_ticks[i]--
          :: else
          fi;
#endif
          if
          :: read_ticks[i] < WINDOW -> read_ticks[i]++
          :: else
          fi;
          check_serving (i);
          i++
       :: else -> break
       od;
       i = 0
     }
  :: else -> break
  od
}

init
{
  atomic {
    run instance (0);
    run instance (1);
    run instance (2);
    run writer ();
    run late_push ();
    run clock ()
  }
}
