/* Shard ownership with epochs, the commit of job records, worker leases and
 * the start of one gang of two tasks that must run at most once.
 *
 * A scheduler takes each step in one atomic block; between two steps it may be
 * paused for any time, which also covers calls that arrive late. The store
 * lease and the worker leases may expire at any moment. A mutant (-DNAME)
 * removes one rule and must be caught:
 *   NO_FENCE                commits are not conditional on the owner key
 *   UNTHROTTLE_EARLY        tasks run before the record says running
 *   RERUN_RUNNING           a new owner starts a running record again
 *   REUSE_LEASE             lease ids are the same for all owners
 *   LOST_IS_NOT_RUN         a lost response to a submission is treated as
 *                           not run
 *   START_WITHOUT_COMMIT    starts are sent before the record says starting
 */
#define N_WORKERS 2
#define MAX_EPOCHS 3
#define MAX_EXPIRIES 2

mtype = { absent, accepted, starting, running, finished, may_have_run };
mtype = { no_response, responded_accepted, responded_not_run,
          responded_unconfirmed };

/* Store. */
byte owner = 0;          /* scheduler that the owner key names; 0: no key */
byte owner_epoch = 0;
byte epochs = 0;
mtype record = absent;
byte record_epoch = 0;   /* epoch whose leases the record names */

/* Workers. */
byte lease[N_WORKERS];   /* id of the active lease; 0: free */
byte holder[N_WORKERS];  /* scheduler that was granted the lease */
byte task[N_WORKERS];    /* 0: none, 1: throttled to zero, 2: running */
byte runs[N_WORKERS];    /* times that the task was unthrottled */

mtype response = no_response;  /* to the caller */
byte store_expiries = 0;
byte worker_expiries = 0;

#ifdef REUSE_LEASE
#define LEASE_ID(e) 1
#else
#define LEASE_ID(e) (e)
#endif

#ifdef NO_FENCE
#define IS_OWNER(id, e) true
#else
#define IS_OWNER(id, e) (owner == id && owner_epoch == e)
#endif

inline commit (state, new_epoch)
{
  d_step {
    ok = IS_OWNER (id, epoch);
    if
    :: ok ->
       /* A final record is never replaced. */
       assert (record != finished && record != may_have_run);
       record = state;
       record_epoch = new_epoch
    :: else
    fi
  }
}

inline release_all (term)
{
  w = 0;
  do
  :: w < N_WORKERS ->
     d_step {
       if
       :: lease[w] == LEASE_ID (term) -> lease[w] = 0; holder[w] = 0; task[w] = 0
       :: else
       fi;
       w++
     }
  :: else -> break
  od
}

proctype scheduler (byte id)
{
  byte epoch = 0;
  byte old = 0;
  byte w = 0;
  bool ok = false;
  mtype seen;

acquire:
  if
  :: atomic { owner == 0 && epochs < MAX_EPOCHS ->
       epochs++; owner = id; owner_epoch = epochs; epoch = epochs }
  fi;

recover:
  d_step { seen = record; old = record_epoch };
  if
  :: seen == absent || seen == accepted -> goto wait_for_job
  :: seen == starting ->
     /* Unless the record says running, no task was unthrottled, and after this
      * epoch's first commit the former owner cannot write such a record. */
     commit (accepted, 0);
     if
     :: !ok -> goto lost
     :: else
     fi;
     release_all (old);
     goto wait_for_job
  :: seen == running ->
     if
     :: atomic {
          (task[0] == 2 && task[1] == 2 && lease[0] == LEASE_ID (old)
           && lease[1] == LEASE_ID (old)) -> goto adopted }
     :: release_all (old);
#ifdef RERUN_RUNNING
        commit (accepted, 0);
        if
        :: !ok -> goto lost
        :: else -> goto wait_for_job
        fi
#else
        commit (may_have_run, 0);
        goto lost
#endif
     fi
  :: else -> goto lost
  fi;

wait_for_job:
  if
  :: record == accepted
  :: !IS_OWNER (id, epoch) -> goto lost
  fi;

grant_all:
  w = 0;
  do
  :: w < N_WORKERS ->
     if
     :: atomic { lease[w] == 0 -> lease[w] = LEASE_ID (epoch);
                 holder[w] = id; w++ }
     :: lease[w] != 0 -> release_all (epoch); goto give_up
     fi
  :: else -> break
  od;

#ifndef START_WITHOUT_COMMIT
  commit (starting, epoch);
  if
  :: !ok -> release_all (epoch); goto lost
  :: else
  fi;
#endif

  w = 0;
  do
  :: w < N_WORKERS ->
     atomic {
       if
       :: lease[w] == LEASE_ID (epoch) && task[w] == 0 ->
          /* A task starts only for the scheduler that holds the lease, and
           * only if the record allows it. */
          assert (holder[w] == id);
          assert (record != accepted || IS_OWNER (id, epoch) == false);
          task[w] = 1;
          w++
       :: else -> goto failed_before_run
       fi
     }
  :: else -> break
  od;

#ifndef UNTHROTTLE_EARLY
  commit (running, epoch);
  if
  :: !ok -> release_all (epoch); goto lost
  :: else
  fi;
#endif

  w = 0;
  do
  :: w < N_WORKERS ->
     atomic {
       if
       :: lease[w] == LEASE_ID (epoch) && task[w] == 1 ->
          assert (record == running || record == may_have_run);
          assert (response != responded_not_run);
          task[w] = 2;
          runs[w]++;
          assert (runs[w] <= 1);
          w++
       :: else -> goto failed_after_run
       fi
     }
  :: else -> break
  od;

adopted:
  commit (finished, 0);
  if
  :: ok -> release_all (epoch)
  :: else
  fi;
  goto lost;

failed_before_run:
  release_all (epoch);
  commit (accepted, 0);
  goto give_up;

failed_after_run:
  release_all (epoch);
  commit (may_have_run, 0);

give_up:
lost:
  /* The owner key remains until its store lease expires. */
  skip
}

/* The caller's submission through the current owner. */
proctype submission ()
{
  bool applied;

  if
  :: atomic { record == absent && owner != 0 -> record = accepted;
              applied = true }
  :: applied = false
  fi;
  if
  :: applied -> response = responded_accepted
  :: true ->
     /* The response to the write was lost. */
#ifdef LOST_IS_NOT_RUN
     response = responded_not_run
#else
     if
     :: atomic { applied -> response = responded_accepted }  /* read back */
     :: atomic { !applied -> response = responded_not_run }
     :: response = responded_unconfirmed            /* no response in time */
     fi
#endif
  fi
}

proctype lease_expiries ()
{
  do
  :: atomic { store_expiries < MAX_EXPIRIES && owner != 0 ->
       owner = 0; store_expiries++ }
  :: atomic { worker_expiries < MAX_EXPIRIES && lease[0] != 0 ->
       lease[0] = 0; holder[0] = 0; task[0] = 0; worker_expiries++ }
  :: atomic { worker_expiries < MAX_EXPIRIES && lease[1] != 0 ->
       lease[1] = 0; holder[1] = 0; task[1] = 0; worker_expiries++ }
  :: break
  od
}

init
{
  atomic {
    run scheduler (1);
    run scheduler (2);
    run submission ();
    run lease_expiries ()
  }
}
