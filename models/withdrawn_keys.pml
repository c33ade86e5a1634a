/* A key of a workspace is withdrawn in the store. The root of a failure domain
 * reads the store, a child reads the root's copy; answers may be under way for
 * long, and either may be paused or cut off at any time. No request under the
 * key is let through REVOKE ticks or more after the withdrawal.
 *
 * Variants with one rule removed:
 *   NO_FRESHNESS  a keyed request runs by a configuration of any age
 *   NO_CALL_TIME  a confirmation counts from its arrival, not from the call
 *   NO_COPY_AGE   the age of the copy is not taken off its word
 */
#define REVOKE 3
#define LAST 8
#define OLD 1
#define WITHDRAWN 2

byte now;
byte store = OLD;
byte withdrawn_at = LAST;      /* when the store took the withdrawal */
byte held[2] = OLD;            /* by the root (0) and the child (1) */
byte confirmed_at[2];          /* when the store held nothing newer */

proctype clock() {
  do
  :: now < LAST -> now++
  :: now == LAST -> break
  od
}

proctype operators() {
  atomic { store = WITHDRAWN; withdrawn_at = now }
}

inline learn(me, version, at) {
  if
  :: version > held[me] -> held[me] = version; confirmed_at[me] = at
  :: version == held[me] && at > confirmed_at[me] -> confirmed_at[me] = at
  :: else -> skip
  fi
}

inline serve(me) {
#ifdef NO_FRESHNESS
  (held[me] == OLD) ->
#else
  (held[me] == OLD && now < confirmed_at[me] + REVOKE) ->
#endif
  assert(withdrawn_at == LAST || now < withdrawn_at + REVOKE)
}

proctype root() {
  byte called_at;
  byte said;
  do
  :: now == LAST -> break
  :: called_at = now;
     said = store;             /* may be under way for long after this */
     atomic {
#ifdef NO_CALL_TIME
       called_at = now;
#endif
       learn(0, said, called_at)
     }
  :: atomic { serve(0) }
  od
}

proctype child() {
  byte called_at;
  byte said;
  byte age;
  do
  :: now == LAST -> break
  :: called_at = now;
     atomic { said = held[0]; age = now - confirmed_at[0] };
     atomic {
#ifdef NO_COPY_AGE
       age = 0;
#endif
#ifdef NO_CALL_TIME
       called_at = now;
#endif
       if
       :: called_at >= age -> learn(1, said, called_at - age)
       :: else -> skip
       fi
     }
  :: atomic { serve(1) }
  od
}

init {
  atomic { run clock(); run operators(); run root(); run child() }
}
