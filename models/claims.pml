/* Claims: two instances receive requests with the same idempotency key.
 * Responses of the store may be lost, writes without a response may take effect
 * late, and instances may crash. The request runs at most once, and a response
 * "not run" is always true.
 *
 * Variants with one rule removed:
 *   ASSUME_WRITTEN  a write without a response is assumed to have succeeded
 *   TRANSFER        the next claimant takes over a claim without an outcome
 *   NO_NONCE        an instance treats any existing claim as its own
 */
#define EMPTY 0
#define CLAIMED 1
#define DONE 2

byte state;                    /* state of the record in the store */
byte owner;                    /* nonce of the claimant */
byte revision = 1;
byte runs;                     /* runs of the request at the service */

/* Writes, by instance, that were sent and may still take effect. */
bool delayed_pending[2];
byte delayed_revision[2];
byte delayed_nonce[2];

byte next_nonce = 1;

inline compare_and_swap_claim(expected, nonce) {
  if
  :: revision == expected -> state = CLAIMED; owner = nonce; revision++
  :: else -> skip
  fi
}

proctype network() {
  do
  :: atomic { delayed_pending[0] ->
       delayed_pending[0] = false;
       compare_and_swap_claim(delayed_revision[0], delayed_nonce[0]) }
  :: atomic { delayed_pending[1] ->
       delayed_pending[1] = false;
       compare_and_swap_claim(delayed_revision[1], delayed_nonce[1]) }
  :: timeout -> break
  od
}

proctype instance(byte me) {
  byte requests;               /* requests from the caller to this instance */
  byte nonce;
  byte read_revision;
  byte read_state;
  byte read_owner;
  bool granted;
  do
  :: requests == 2 -> break
  :: else ->
     requests++;
     granted = false;
     atomic { nonce = next_nonce; next_nonce++ };
read_record:
     atomic { read_revision = revision; read_state = state;
              read_owner = owner };
     if
     :: read_state == EMPTY ->
        if
        :: atomic {            /* the store responds to the write */
             true ->
             if
             :: revision == read_revision ->
                state = CLAIMED; owner = nonce; revision++; granted = true
             :: else -> skip
             fi };
           if
           :: !granted -> goto read_record
           :: else -> skip
           fi
        :: atomic {            /* the response is lost */
             true -> compare_and_swap_claim(read_revision, nonce) };
#ifdef ASSUME_WRITTEN
           granted = true
#else
           goto read_record
#endif
        :: atomic {            /* the write is delayed, its response lost */
             !delayed_pending[me] ->
             delayed_pending[me] = true;
             delayed_revision[me] = read_revision;
             delayed_nonce[me] = nonce };
#ifdef ASSUME_WRITTEN
           granted = true
#else
           if
           :: goto read_record
           :: skip             /* gives up and responds "not run" */
           fi
#endif
        fi
     :: read_state == CLAIMED && read_owner == nonce -> granted = true
#ifdef NO_NONCE
     :: read_state == CLAIMED && read_owner != nonce -> granted = true
#endif
#ifdef TRANSFER
     :: read_state == CLAIMED && read_owner != nonce ->
        atomic { revision == read_revision -> owner = nonce; revision++;
                 granted = true }
#endif
     :: else -> skip           /* replays, or responds "may have run" */
     fi;
     read_revision = 0; read_state = 0; read_owner = 0;
     if
     :: granted ->
        if
        :: skip                /* crashes before the dispatch */
        :: runs++; assert(runs <= 1);
           if
           :: atomic {
                true ->
                if
                :: state == CLAIMED && owner == nonce ->
                   state = DONE; revision++
                :: else -> skip
                fi }
           :: skip             /* crashes before recording the outcome */
           fi
        :: atomic {            /* the target refused: withdraw the claim */
             true ->
             if
             :: state == CLAIMED && owner == nonce -> state = EMPTY
             :: else -> skip
             fi;
             revision++ }
        fi
     :: else -> skip
     fi
  od
}

init {
  atomic { run network(); run instance(0); run instance(1) }
}
