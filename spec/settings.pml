/* Settings: two changes of one path, three entry instances, a store that may
 * be unreachable for any of them, restarts. A change is accepted after the
 * store write and the acknowledgement of two of three loaded instances. An
 * instance serves only while what it knows was confirmed within WINDOW ticks.
 * Properties: a known revision never goes back while the instance lives; an
 * instance that serves has every revision that was accepted more than WINDOW
 * ticks ago. Mutants:
 *   MINORITY           one acknowledgement is enough
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
byte accepted_age = 0;       /* ticks since, up to WINDOW + 1 */
byte known[N];
bool loaded[N];
byte fresh[N];               /* ticks for which it may serve */
byte reading[N];             /* ticks since its read began, up to WINDOW */
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
  fresh[i] = WINDOW
#else
  if
  :: WINDOW - reading[i] > fresh[i] -> fresh[i] = WINDOW - reading[i]
  :: else
  fi
#endif
}

inline check (i)
{
  assert (!(loaded[i] && fresh[i] > 0 && accepted_age > WINDOW
            && known[i] < accepted_revision))
}

proctype instance (byte i)
{
  byte snapshot;
  byte peer;

  do
  :: /* Reads from the store. */
     d_step { ticks < MAX_TICKS -> snapshot = stored; reading[i] = 0 };
     if
     :: d_step { apply (i, snapshot); loaded[i] = true; confirm (i);
                 check (i); snapshot = 0; reading[i] = WINDOW }
     :: d_step { true -> snapshot = 0; reading[i] = WINDOW } /* no answer */
     fi
  :: /* Asks one peer: with itself a majority of three. A question that takes
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
            fresh[i] = WINDOW;
            check (i)
         fi;
         peer = 0
       }
     }
  :: d_step { !restarted && loaded[i] -> restarted = true; loaded[i] = false;
              known[i] = 0; fresh[i] = 0 }
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
          :: true    /* not reached */
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
          :: fresh[i] > 0 -> fresh[i]--
          :: else
          fi;
#endif
          if
          :: reading[i] < WINDOW -> reading[i]++
          :: else
          fi;
          check (i);
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
