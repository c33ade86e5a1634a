/* Cold permits: two stewards that may pause at any step, two members, lagging
 * reports. The pool bears BEAR requests; at no time more may run.
 *
 * Variants with one rule removed:
 *   NO_DEADLINE    a member sends on a permit past its deadline
 *   NO_EPOCH_WAIT  a new epoch takes the target for empty
 *   NO_LEASE_END   a steward grants after its lease ran out
 *   NO_LAPSE       a permit that lapsed is taken for unused
 */
#define BEAR 1
#define LEASE 2
#define PERMIT 1
#define LAST 4
#define UNKNOWN 99
#define NOBODY 9

byte now;
byte running;                  /* requests on the target */
byte run_of[2];                /* of these, by member */

byte lease_holder = NOBODY;    /* at the platform */
byte lease_until;

byte report_total;             /* the target's last report */
byte report_at;

byte steward_until[2];         /* own view of the lease */
byte unaccounted[2] = UNKNOWN;
byte doubt_until[2];
byte granted[4];               /* by steward * 2 + member */
byte granted_until[4];

byte permit[2];                /* held by member */
byte permit_until[2];

proctype clock() {
  do
  :: now < LAST -> now++
  :: now == LAST -> break
  od
}

proctype target() {
  do
  :: atomic { now < LAST -> report_total = running; report_at = now }
  :: now == LAST -> break
  od
}

proctype steward(byte me) {
  byte member;
  byte asked_at;
  byte other;
  do
  :: now == LAST -> break
  :: atomic {  /* take or renew the lease */
       (lease_holder == me || now >= lease_until) ->
       if
       :: lease_holder != me || now >= lease_until ->
          unaccounted[me] = UNKNOWN;
          doubt_until[me] = now;
          granted[me * 2] = 0;
          granted[me * 2 + 1] = 0;
#ifdef NO_EPOCH_WAIT
          unaccounted[me] = 0;
#endif
       :: else -> skip
       fi;
       lease_holder = me;
       lease_until = now + LEASE;
       steward_until[me] = now + LEASE
     }
  :: atomic {  /* hear a report */
       (steward_until[me] > 0 && report_at > doubt_until[me]) ->
       if
       :: unaccounted[me] == UNKNOWN || unaccounted[me] > report_total ->
          unaccounted[me] = report_total
       :: else -> skip
       fi
     }
  :: atomic {  /* a permit of a silent member lapses */
       (granted[me * 2] > 0 && granted_until[me * 2] <= now) ->
#ifndef NO_LAPSE
       if
       :: unaccounted[me] != UNKNOWN -> unaccounted[me]++
       :: else -> skip
       fi;
       doubt_until[me] = now;
#endif
       granted[me * 2] = 0;
       granted_until[me * 2] = 0
     }
  :: atomic {
       (granted[me * 2 + 1] > 0 && granted_until[me * 2 + 1] <= now) ->
#ifndef NO_LAPSE
       if
       :: unaccounted[me] != UNKNOWN -> unaccounted[me]++
       :: else -> skip
       fi;
       doubt_until[me] = now;
#endif
       granted[me * 2 + 1] = 0;
       granted_until[me * 2 + 1] = 0
     }
  :: /* a member asks; the steward may pause before it answers */
     atomic {
       if :: member = 0 :: member = 1 fi;
       other = 1 - member;
       asked_at = now
     };
     atomic {
       if
#ifdef NO_LEASE_END
       :: unaccounted[me] != UNKNOWN &&
#else
       :: now < steward_until[me] && unaccounted[me] != UNKNOWN &&
#endif
          unaccounted[me] + granted[me * 2 + other] < BEAR &&
          granted[me * 2 + member] == 0 && run_of[member] == 0 ->
          granted[me * 2 + member] = 1;
          granted_until[me * 2 + member] = now + PERMIT + 1;
          permit[member] = 1;
          if
#ifdef NO_LEASE_END
          :: true -> permit_until[member] = asked_at + PERMIT
#else
          :: asked_at + PERMIT < steward_until[me] ->
             permit_until[member] = asked_at + PERMIT
          :: else -> permit_until[member] = steward_until[me]
#endif
          fi
       :: else -> skip
       fi;
       member = 0; other = 0; asked_at = 0
     }
  od
}

proctype member(byte me) {
  do
  :: now == LAST -> break
  :: atomic {  /* send */
#ifdef NO_DEADLINE
       (permit[me] > run_of[me]) ->
#else
       (permit[me] > run_of[me] && now < permit_until[me]) ->
#endif
       running++;
       run_of[me]++;
       assert(running <= BEAR)
     }
  :: atomic {  /* a request ends */
       (run_of[me] > 0) ->
       running--;
       run_of[me]--;
       permit[me] = 0;
       permit_until[me] = 0
     }
  od
}

init {
  atomic {
    run clock();
    run target();
    run steward(0);
    run steward(1);
    run member(0);
    run member(1)
  }
}
