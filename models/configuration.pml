/* Configuration in force: a store that may come back older, two instances of
 * which one (0) is in the domain that is taken out and one (1) outside it, cut
 * off from the store and from each other at any time. Versions held never go
 * back; the outside instance sends into the domain at most WORD ticks after it
 * was taken out while the domain's own instance knows of it.
 *
 * Variants with one rule removed:
 *   NO_HIGHEST    an instance takes whatever version it hears
 *   NO_FRESHNESS  an instance sends into the domain on old word
 *   NO_AGE        word counts from its arrival, not from the call
 */
#define WORD 2
#define LAST 8
#define OUT_VERSION 2
#define NEVER 99

byte now;
byte store = 1;                /* version in the store */
byte held[2] = 1;              /* by the inside and the outside instance */
byte heard_at = NEVER;         /* when the inside one heard of version 2 */
byte word_at;                  /* when the outside one's word was true */
bool word_known;

proctype clock() {
  do
  :: now < LAST -> now++
  :: now == LAST -> break
  od
}

proctype operators() {
  store = OUT_VERSION;
  if
  :: store = 1;                /* it comes back from an older copy */
     store = OUT_VERSION       /* an instance puts the newer one back */
  :: skip
  fi
}

inline take(me, version) {
#ifdef NO_HIGHEST
  held[me] = version
#else
  if
  :: version > held[me] -> held[me] = version
  :: else -> skip
  fi
#endif
}

/* The domain's own instance. It may be cut off from the store (not scheduled
 * here) and then goes on vouching for what it holds. */
proctype inside() {
  byte before;
  do
  :: now == LAST -> break
  :: atomic {
       before = held[0];
       take(0, store);
       assert(held[0] >= before);
       if
       :: held[0] == OUT_VERSION && heard_at == NEVER -> heard_at = now
       :: else -> skip
       fi
     }
  od
}

proctype outside() {
  byte before;
  byte called_at;
  byte said;
  do
  :: now == LAST -> break
  :: /* asks the inside instance; the answer may be under way for long */
     atomic { called_at = now; said = held[0] };
     atomic {
       before = held[1];
       take(1, said);
       assert(held[1] >= before);
#ifdef NO_AGE
       called_at = now;
#endif
       if
       :: said >= held[1] -> word_known = true; word_at = called_at
       :: else -> skip
       fi
     }
  :: atomic {                  /* sends into the domain */
#ifdef NO_FRESHNESS
       (held[1] < OUT_VERSION) ->
#else
       (held[1] < OUT_VERSION && word_known && now < word_at + WORD) ->
#endif
       assert(heard_at == NEVER || now < heard_at + WORD)
     }
  od
}

init {
  atomic { run clock(); run operators(); run inside(); run outside() }
}
