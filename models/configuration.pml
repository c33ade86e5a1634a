/* Configuration in effect: the store may be restored from an older backup. One
 * instance (0) is inside the domain that is taken out, the other one (1) is
 * outside it. Either may be disconnected from the store and from the other at
 * any time. The version that an instance has never decreases. The outside
 * instance sends requests into the domain for less than VALIDITY ticks after
 * the domain's own instance has learned that the domain was taken out.
 *
 * Variants with one rule removed:
 *   NO_HIGHEST    an instance accepts any version that it receives
 *   NO_FRESHNESS  an instance sends into the domain on an expired domain status
 *   NO_AGE        a domain status ages from its arrival, not from the call
 */
#define VALIDITY 2
#define END 8
#define OUT_VERSION 2
#define UNSET 99

byte now;
byte store = 1;                /* version in the store */
byte version_of[2] = 1;        /* version that each instance has */
byte learned_at = UNSET;       /* when instance 0 learned OUT_VERSION */
byte status_at;                /* call time of instance 1's domain status */
bool has_status;

proctype clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

/* Operators take the domain out with OUT_VERSION; version 1 has it in. */
proctype operators() {
  store = OUT_VERSION;
  if
  :: store = 1;                /* restored from an older backup */
     store = OUT_VERSION       /* an instance writes the newer one back */
  :: skip
  fi
}

inline update(me, version) {
#ifdef NO_HIGHEST
  version_of[me] = version
#else
  if
  :: version > version_of[me] -> version_of[me] = version
  :: else -> skip
  fi
#endif
}

/* The domain's own instance. While it is disconnected from the store, which the
 * model expresses by not scheduling it, the outside instance still gets a
 * domain status from it for the version that it has. */
proctype inside_instance() {
  byte previous;
  do
  :: now == END -> break
  :: atomic {
       previous = version_of[0];
       update(0, store);
       assert(version_of[0] >= previous);
       if
       :: version_of[0] == OUT_VERSION && learned_at == UNSET ->
          learned_at = now
       :: else -> skip
       fi
     }
  od
}

proctype outside_instance() {
  byte previous;
  byte called_at;
  byte reported;
  do
  :: now == END -> break
  :: /* calls the inside instance; the response may be delayed */
     atomic { called_at = now; reported = version_of[0] };
     atomic {
       previous = version_of[1];
       update(1, reported);
       assert(version_of[1] >= previous);
#ifdef NO_AGE
       called_at = now;
#endif
       if
       :: reported >= version_of[1] -> has_status = true; status_at = called_at
       :: else -> skip
       fi
     }
  :: atomic {                  /* sends a request into the domain */
#ifdef NO_FRESHNESS
       (version_of[1] < OUT_VERSION) ->
#else
       (version_of[1] < OUT_VERSION && has_status &&
        now < status_at + VALIDITY) ->
#endif
       assert(learned_at == UNSET || now < learned_at + VALIDITY)
     }
  od
}

init {
  atomic {
    run clock();
    run operators();
    run inside_instance();
    run outside_instance()
  }
}
