/* An API key of a workspace is revoked in the store. The root instance of a
 * failure domain reads the store; a child instance reads the root's mirror.
 * Responses may be delayed, and either instance may be paused or disconnected
 * at any time. No request with the key is accepted REVOCATION_LIMIT ticks or
 * more after the revocation.
 *
 * Variants with one rule removed:
 *   NO_FRESHNESS   a configuration of any age authorizes requests
 *   NO_CALL_TIME   a confirmation ages from its arrival, not from the call
 *   NO_MIRROR_AGE  the child ignores the age of the root's mirror
 */
#define REVOCATION_LIMIT 3
#define END 8
#define OLD 1
#define REVOKED 2

byte now;
byte store = OLD;
byte revoked_at = END;         /* when the store held the revocation */
byte version_of[2] = OLD;      /* version at root (0) and child (1) */
byte confirmed_at[2];          /* when that version was the latest */

proctype clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

proctype operators() {
  atomic { store = REVOKED; revoked_at = now }
}

inline update(me, version, at) {
  if
  :: version > version_of[me] -> version_of[me] = version; confirmed_at[me] = at
  :: version == version_of[me] && at > confirmed_at[me] -> confirmed_at[me] = at
  :: else -> skip
  fi
}

/* Accepts a request with the key. */
inline accept_request(me) {
#ifdef NO_FRESHNESS
  (version_of[me] == OLD) ->
#else
  (version_of[me] == OLD && now < confirmed_at[me] + REVOCATION_LIMIT) ->
#endif
  assert(revoked_at == END || now < revoked_at + REVOCATION_LIMIT)
}

proctype root() {
  byte called_at;
  byte reported;
  do
  :: now == END -> break
  :: called_at = now;
     reported = store;         /* the response may be delayed after this */
     atomic {
#ifdef NO_CALL_TIME
       called_at = now;
#endif
       update(0, reported, called_at)
     }
  :: atomic { accept_request(0) }
  od
}

proctype child() {
  byte called_at;
  byte reported;
  byte age;
  do
  :: now == END -> break
  :: called_at = now;
     atomic { reported = version_of[0]; age = now - confirmed_at[0] };
     atomic {
#ifdef NO_MIRROR_AGE
       age = 0;
#endif
#ifdef NO_CALL_TIME
       called_at = now;
#endif
       if
       :: called_at >= age -> update(1, reported, called_at - age)
       :: else -> skip
       fi
     }
  :: atomic { accept_request(1) }
  od
}

init {
  atomic { run clock(); run operators(); run root(); run child() }
}
