/* Cold start permits: two coordinators that may pause at any step, two members,
 * and load reports that lag. The cold target can hold MAX_REQUESTS requests and
 * never runs more.
 *
 * Variants with one rule removed:
 *   NO_DEADLINE    a member sends on a permit after its deadline
 *   NO_EPOCH_WAIT  a new epoch assumes that the target is empty
 *   NO_LEASE_END   a coordinator grants permits after its lease has expired
 *   ASSUME_UNUSED  an expired permit is assumed to be unused
 */
#define MAX_REQUESTS 1
#define LEASE 2
#define PERMIT 1
#define END 4
#define UNKNOWN 99
#define NO_HOLDER 9

byte now;
byte running;                  /* requests on the target */
byte running_of[2];            /* running requests by member */

byte lease_holder = NO_HOLDER; /* holder according to the platform */
byte lease_until;

byte report_total;             /* running requests in the last load report */
byte report_at;

byte known_lease_until[2];     /* lease deadline known to each coordinator */

/* By coordinator: the most requests that may run on the target in addition to
 * those with a granted permit. UNKNOWN until the first load report of an epoch;
 * no permits are granted before. */
byte unaccounted[2] = UNKNOWN;
byte reports_valid_after[2];   /* only later load reports are used */
byte granted[4];               /* index: coordinator * 2 + member */
byte granted_until[4];

byte permit[2];                /* permits by member */
byte permit_until[2];

proctype clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

proctype target() {
  do
  :: atomic { now < END -> report_total = running; report_at = now }
  :: now == END -> break
  od
}

proctype coordinator(byte me) {
  byte member;
  byte requested_at;
  byte other;
  do
  :: now == END -> break
  :: atomic {  /* acquire or renew the lease */
       (lease_holder == me || now >= lease_until) ->
       if
       :: lease_holder != me || now >= lease_until ->
          unaccounted[me] = UNKNOWN;
          reports_valid_after[me] = now;
          granted[me * 2] = 0;
          granted[me * 2 + 1] = 0;
#ifdef NO_EPOCH_WAIT
          unaccounted[me] = 0;
#endif
       :: else -> skip
       fi;
       lease_holder = me;
       lease_until = now + LEASE;
       known_lease_until[me] = now + LEASE
     }
  :: atomic {  /* receive a load report */
       (known_lease_until[me] > 0 && report_at > reports_valid_after[me]) ->
       if
       :: unaccounted[me] == UNKNOWN || unaccounted[me] > report_total ->
          unaccounted[me] = report_total
       :: else -> skip
       fi
     }
  :: atomic {  /* a permit that member 0 did not renew expires */
       (granted[me * 2] > 0 && granted_until[me * 2] <= now) ->
#ifndef ASSUME_UNUSED
       if
       :: unaccounted[me] != UNKNOWN -> unaccounted[me]++
       :: else -> skip
       fi;
       reports_valid_after[me] = now;
#endif
       granted[me * 2] = 0;
       granted_until[me * 2] = 0
     }
  :: atomic {
       (granted[me * 2 + 1] > 0 && granted_until[me * 2 + 1] <= now) ->
#ifndef ASSUME_UNUSED
       if
       :: unaccounted[me] != UNKNOWN -> unaccounted[me]++
       :: else -> skip
       fi;
       reports_valid_after[me] = now;
#endif
       granted[me * 2 + 1] = 0;
       granted_until[me * 2 + 1] = 0
     }
  :: /* a member requests a permit; the coordinator may pause before it
      * responds */
     atomic {
       if :: member = 0 :: member = 1 fi;
       other = 1 - member;
       requested_at = now
     };
     atomic {
       if
#ifdef NO_LEASE_END
       :: unaccounted[me] != UNKNOWN &&
#else
       :: now < known_lease_until[me] && unaccounted[me] != UNKNOWN &&
#endif
          unaccounted[me] + granted[me * 2 + other] < MAX_REQUESTS &&
          granted[me * 2 + member] == 0 && running_of[member] == 0 ->
          granted[me * 2 + member] = 1;
          /* later than any deadline that the member can get */
          granted_until[me * 2 + member] = now + PERMIT + 1;
          permit[member] = 1;
          if
#ifdef NO_LEASE_END
          :: true -> permit_until[member] = requested_at + PERMIT
#else
          :: requested_at + PERMIT < known_lease_until[me] ->
             permit_until[member] = requested_at + PERMIT
          :: else -> permit_until[member] = known_lease_until[me]
#endif
          fi
       :: else -> skip
       fi;
       member = 0; other = 0; requested_at = 0
     }
  od
}

proctype member(byte me) {
  do
  :: now == END -> break
  :: atomic {  /* send a request */
#ifdef NO_DEADLINE
       (permit[me] > running_of[me]) ->
#else
       (permit[me] > running_of[me] && now < permit_until[me]) ->
#endif
       running++;
       running_of[me]++;
       assert(running <= MAX_REQUESTS)
     }
  :: atomic {  /* a request ends */
       (running_of[me] > 0) ->
       running--;
       running_of[me]--;
       permit[me] = 0;
       permit_until[me] = 0
     }
  od
}

init {
  atomic {
    run clock();
    run target();
    run coordinator(0);
    run coordinator(1);
    run member(0);
    run member(1)
  }
}
