/* Roll-outs: two deciders write the status of a roll-out request, which an
 * operator replaces once. At each look a decider may find the version good or bad:
 * the deciders differ, and one that crashes loses its verdict. Responses of the
 * store may be lost, and writes without a response may take effect late. Each request gets at most one final state, which is never
 * reverted, and at `succeeded` no run is left on an old target. Verdicts of other
 * instances, which make them return to old targets, are not part of the model.
 *
 * Variants with one rule removed:
 *   NO_STATUS_REVISION   writes do not depend on the status key's revision
 *   NO_REQUEST_REVISION  writes do not depend on the request's revision
 *   OVERWRITE_FINAL      a decider that finds the version bad writes that over a
 *                        final state that it reads
 *   IGNORE_RUNS          success does not wait for runs on old targets
 *   REPORT_RUNS_ONLY     an instance that may still send requests to old targets
 *                        reports only its open runs
 */
#define NONE 0
#define RUNNING 1
#define SHIFT 2
#define SUCCEEDED 3
#define ROLLED_BACK 4

#define REQUESTS 2

#ifdef NO_STATUS_REVISION
#define IS_SAME_STATUS(revision) true
#else
#define IS_SAME_STATUS(revision) (revision == status_revision)
#endif

#ifdef NO_REQUEST_REVISION
#define IS_SAME_REQUEST(about) true
#else
#define IS_SAME_REQUEST(about) (about == request)
#endif

#ifdef IGNORE_RUNS
#define RUNS_HAVE_ENDED(about) true
#else
#define RUNS_HAVE_ENDED(about) \
  (reported_request == about && reported_unfinished == 0)
#endif

/* The store. */
byte request = 1;              /* revision of the request */
byte status = NONE;
byte status_request;           /* request that the status is about */
byte status_revision;

byte final[REQUESTS + 1];      /* final state by request */

/* Writes, by decider, that were sent and may still take effect. */
bool delayed_pending[2];
byte delayed_state[2];
byte delayed_request[2];
byte delayed_revision[2];

/* Another instance. */
bool old_run;
byte reported_request;
byte reported_unfinished = 1;

inline execute(state, about, revision) {
  if
  :: IS_SAME_STATUS(revision) && IS_SAME_REQUEST(about) ->
     assert(about == request);
     assert(final[about] == NONE);
     if
     :: state >= SUCCEEDED -> final[about] = state
     :: else -> skip
     fi;
     if
     :: state == SUCCEEDED -> assert(!old_run)
     :: else -> skip
     fi;
     status = state; status_request = about; status_revision++
  :: else -> skip
  fi
}

inline execute_delayed(writer) {
  delayed_pending[writer] = false;
  execute(delayed_state[writer], delayed_request[writer],
          delayed_revision[writer]);
  delayed_state[writer] = NONE; delayed_request[writer] = 0;
  delayed_revision[writer] = 0
}

proctype network() {
end:
  do
  :: atomic { delayed_pending[0] -> execute_delayed(0) }
  :: atomic { delayed_pending[1] -> execute_delayed(1) }
  od
}

proctype operator() {
  request = 2
}

proctype instance() {
  bool in_shift;
  byte known_request;
end:
  do
  :: atomic {                  /* follows the store */
       known_request = request;
       in_shift = (status_request == request && status >= SHIFT) }
  :: atomic { !in_shift && known_request == request && final[request] == NONE ->
       old_run = true }        /* sends a request to an old target */
  :: old_run = false           /* the run ends or is moved */
  :: atomic {                  /* reports */
       reported_request = known_request;
#ifdef REPORT_RUNS_ONLY
       reported_unfinished = old_run
#else
       reported_unfinished = old_run + !in_shift
#endif
     }
  od
}

proctype decider(byte me) {
  byte read_request;
  byte read_revision;
  byte next;
end:
  do
  :: atomic {                  /* reads both keys and decides */
       next == NONE ->
       read_request = request;
       read_revision = status_revision;
       if
       :: status_request != request -> next = RUNNING
       :: status_request == request && status == RUNNING -> next = SHIFT
       :: status_request == request && status == SHIFT &&
          RUNS_HAVE_ENDED(request) -> next = SUCCEEDED
       :: status_request == request && status < SUCCEEDED ->
          next = ROLLED_BACK
#ifdef OVERWRITE_FINAL
       :: status_request == request && status >= SUCCEEDED ->
          next = ROLLED_BACK
#endif
       :: else -> read_request = 0; read_revision = 0
       fi }
  :: atomic { next != NONE ->
       execute(next, read_request, read_revision);
       next = NONE; read_request = 0; read_revision = 0 }
  :: atomic { next != NONE && !delayed_pending[me] ->
       delayed_pending[me] = true;
       delayed_state[me] = next;
       delayed_request[me] = read_request;
       delayed_revision[me] = read_revision;
       next = NONE; read_request = 0; read_revision = 0 }
  :: atomic { next != NONE ->  /* crashes */
       next = NONE; read_request = 0; read_revision = 0 }
  od
}

init {
  atomic { run network(); run operator(); run instance(); run decider(0);
           run decider(1) }
}
