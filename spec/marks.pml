/* Marks of non-idempotent requests: one request key, tried by a caller through
 * two entry instances, a store whose answers may be lost, and the removal of
 * marks of refused tries. Mutants:
 *   SEND_FIRST        the request is sent before its mark is durable
 *   NO_COMPARE        the mark is written without the condition
 *   LOST_IS_WRITTEN   a lost answer is taken as a written mark
 *   REMOVE_ANY        the removal does not compare the writer id
 */
#define MAX_TRIES 3

byte mark = 0;           /* writer id of the mark; 0: none */
byte starts = 0;         /* at the targets */
bool sent[4];            /* by try */
bool told_not_run[4];

proctype try (byte id)
{
  bool lost;
  bool refused = false;

#ifdef SEND_FIRST
  atomic { starts++; sent[id] = true; assert (starts <= 1) };
#endif
  /* The write takes effect or not; its answer may be lost in both cases. */
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
  :: refused -> goto end            /* told: may have run */
  :: else
  fi;
  if
  :: lost ->
#ifdef LOST_IS_WRITTEN
     skip
#else
     /* Reads back; without an answer the try is refused. */
     if
     :: atomic { mark == id -> skip }
     :: told_not_run[id] = true;
        assert (!sent[id]);
        goto remove
     fi
#endif
  :: else
  fi;
#ifndef SEND_FIRST
  atomic { starts++; sent[id] = true; assert (starts <= 1);
           assert (!told_not_run[id]) };
#endif
  goto end;

remove:
  /* Later, and perhaps never. */
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
