/* Marks of non-idempotent requests: one request key, sent by a caller through
 * two entry instances, a store whose responses may be lost, and the removal of
 * the marks of refused tries. Mutants:
 *   SEND_FIRST        the request is sent before its mark is durable
 *   NO_COMPARE        the mark is written unconditionally
 *   LOST_IS_WRITTEN   a lost response is treated as a written mark
 *   REMOVE_ANY        the removal does not compare the writer id
 */
#define MAX_TRIES 3

byte mark = 0;           /* writer id of the mark; 0: none */
byte starts = 0;         /* requests started at the targets */
bool sent[4];            /* indexed by try */
bool reported_not_run[4];

proctype try (byte id)
{
  bool lost;
  bool refused = false;

#ifdef SEND_FIRST
  atomic { starts++; sent[id] = true; assert (starts <= 1) };
#endif
  /* The write may or may not take effect; its response may be lost in both
   * cases. */
#ifdef NO_COMPARE
  if
  :: mark = id; lost = false
  :: mark = id; lost = true
  :: lost = true
  fi;
#else
  if
  :: atomic { mark == 0 -> mark = id; lost = false }
  :: atomic { mark == 0 -> mark = id; lost = true }
  :: atomic { mark != 0 -> refused = true; lost = false }
  :: lost = true
  fi;
#endif
  if
  :: refused -> goto end            /* outcome: may-have-run */
  :: else
  fi;
  if
  :: lost ->
#ifdef LOST_IS_WRITTEN
     skip
#else
     /* Reads the mark back; without a response the try is refused. */
     if
     :: atomic { mark == id -> skip }
     :: reported_not_run[id] = true;
        assert (!sent[id]);
        goto remove
     fi
#endif
  :: else
  fi;
#ifndef SEND_FIRST
  atomic { starts++; sent[id] = true; assert (starts <= 1);
           assert (!reported_not_run[id]) };
#endif
  goto end;

remove:
  /* Removes the mark later, or never. */
  if
#ifdef REMOVE_ANY
  :: mark = 0
#else
  :: atomic { mark == id -> mark = 0 }
  :: atomic { mark != id -> skip }
#endif
  :: true
  fi;
end:
  skip
}

init
{
  atomic { run try (1); run try (2); run try (3) }
}
