/*
 * Which host may call an upstream: leases, fences, late writes and the cold-start limit.
 * Models docs/design.md sections 4 and 6 (src/libs/membership/leaseregistry.h,
 * src/libs/membership/membershipagent.h, src/libs/dispatch/upstreamdispatcher.h).
 *
 * Host A is the first candidate for the upstream, host B the second. The holders are 0: A in its
 * first incarnation, 1: A in its second incarnation, 2: B. The first incarnation may be paused
 * while the second one runs. A has three monitors, majority 2. B's own lease is assumed to be
 * valid at all times, which only allows more behaviour. Any two candidates exclude each other
 * through the monitors of the earlier one, so two hosts suffice.
 *
 * Bounds: a lease or fence lasts L = 2 or 3 ticks and an attempt T = L - 1 ticks; one restart of
 * a monitor and one crash of B (neither together with both incarnations of A); two calls of a
 * warm holder. Each holder has one link that checks at a time, so at most one call per holder
 * slips: it was checked and is written after the check has lapsed. The request for a grant and
 * the grant are one step, since a later grant only shortens what the requesting host may do. For
 * the same reason a grant arrives at once, except in the run `delays`, which has one grant in
 * flight at a time and no calls.
 *
 * Properties: no two holders may start calls at the same time; when a holder starts a call, fewer
 * calls than its limit are in flight, not counting slipped ones; a holder does not keep its warm
 * limit after another one has started calls.
 *
 * run: delays -DDELAYS -DL=3            A's first incarnation and B, delayed grants
 * run: takeover -DCALLS -DL=3           A's first incarnation and B with calls
 * run: incarnations -DCALLS -DLIVES -DL=2 both incarnations of A, late release, B, calls
 *
 * mutant: NO_HOLD delays            a restarted monitor grants at once
 * mutant: LEASE_FROM_RECEIPT delays a lease or fence counts from receipt
 * mutant: ONE_MONITOR delays        one grant is enough
 * mutant: NO_COVER takeover           the check does not cover the attempt
 * mutant: FENCE_NOT_COVERED takeover  the lease has to cover the attempt, the fences do not
 * mutant: RELEASE_EARLY takeover      the lease is released while calls run
 * mutant: REGAIN_WARM takeover        a holder that lost its lease stays warm
 * mutant: LAPSE_UNNOTICED takeover    a grant that arrives after a lapse hides the lapse
 * mutant: ANY_LIFE incarnations       a new incarnation gets a grant while an old one lasts
 * mutant: RELEASE_ANY_LIFE incarnations a release ends the lease of a later incarnation too
 */
#define MONITORS 3
#define ATTEMPT_TICKS (L - 1)
#define WARM_LIMIT 2

/* remaining ticks, as the monitors count */
byte granted_lease[MONITORS], granted_fence[MONITORS], restart_hold[MONITORS];
bit lease_incarnation[MONITORS]; /* per monitor: incarnation that got its last grant */
/* per monitor: incarnations whose release it knows, as bits */
byte released_incarnations[MONITORS];
byte monitor_restarts;
byte held_lease[6]; /* [3 * incarnation + monitor]: remaining ticks, as A counts */
byte held_fence[MONITORS]; /* per monitor: remaining ticks, as B counts */
byte grant_holder, grant_monitor, grant_left; /* grant in flight */
byte release_pending; /* monitors that the first incarnation's release has not reached, as bits */
bool ended[3], leaving, incarnation_started[3];
/* the link's check has passed; the holder held at its last update */
bool checked[3], was_holder[3];
byte call_left[6]; /* remaining ticks of running calls, two for each holder */
byte limit[3] = 1;
bool taken_over; /* a holder other than 0 has started a call */

#define enough(a, b, c) ((a) + (b) + (c) >= GRANTS_NEEDED)
#ifdef ONE_MONITOR
#define GRANTS_NEEDED 1
#else
#define GRANTS_NEEDED 2
#endif
#ifdef NO_COVER
#define LEASE_COVER 1
#else
#define LEASE_COVER ATTEMPT_TICKS
#endif
#ifdef FENCE_NOT_COVERED
#define FENCE_COVER 1
#else
#define FENCE_COVER LEASE_COVER
#endif
#define holds_a(i, n) enough((held_lease[3 * i] >= n), (held_lease[3 * i + 1] >= n), (held_lease[3 * i + 2] >= n))
#define holds_b(n) enough((held_fence[0] >= n), (held_fence[1] >= n), (held_fence[2] >= n))
#define may_start0 (!ended[0] && !leaving && holds_a(0, LEASE_COVER))
#define may_start1 (incarnation_started[1] && holds_a(1, LEASE_COVER))
#define may_start2 (!ended[2] && holds_b(FENCE_COVER))
#define running_calls ((call_left[0] > 0) + (call_left[1] > 0) + (call_left[2] > 0) + (call_left[4] > 0))

/* The holder notices whether it still holds; after a loss it starts with the cold limit. */
inline update_holding(x, valid) {
    if
    :: valid && !was_holder[x] -> was_holder[x] = true;
#ifdef REGAIN_WARM
        limit[x] = (x == 0 -> WARM_LIMIT : 1)
#else
        limit[x] = 1
#endif
    :: !valid && was_holder[x] -> was_holder[x] = false; limit[x] = 1
    :: else
    fi
}

/* A grant arrives; the holder must notice a lapse before it. */
inline receive_grant(x, m, left) {
    if
    :: x == 0 ->
#ifndef LAPSE_UNNOTICED
        update_holding(0, holds_a(0, 1));
#endif
        held_lease[m] = (held_lease[m] < left -> left : held_lease[m])
#ifdef LIVES
    :: x == 1 -> update_holding(1, holds_a(1, 1));
        held_lease[3 + m] = (held_lease[3 + m] < left -> left : held_lease[3 + m])
#endif
    :: x == 2 -> update_holding(2, holds_b(1));
        held_fence[m] = (held_fence[m] < left -> left : held_fence[m])
    fi
}

inline send_grant(x, m) {
#ifdef DELAYS
    grant_holder = x; grant_monitor = m; grant_left = L
#else
    if
    :: receive_grant(x, m, L)
    :: true /* the grant is lost */
    fi
#endif
}

inline monitor_step(m) {
    if
    /* A requests a lease. */
    :: !ended[0] && !leaving && grant_left == 0 && restart_hold[m] == 0 && granted_fence[m] == 0 &&
       (granted_lease[m] == 0 || lease_incarnation[m] == 0) && !(released_incarnations[m] & 1) ->
        granted_lease[m] = L; lease_incarnation[m] = 0; send_grant(0, m)
#ifdef LIVES
    :: incarnation_started[1] && grant_left == 0 && restart_hold[m] == 0 && granted_fence[m] == 0 &&
#ifndef ANY_LIFE
       (granted_lease[m] == 0 || lease_incarnation[m] == 1) &&
#endif
       true ->
        granted_lease[m] = L; lease_incarnation[m] = 1; send_grant(1, m)
#endif
    /* B requests a fence against A. */
    :: !ended[2] && grant_left == 0 && restart_hold[m] == 0 && granted_lease[m] == 0 ->
        granted_fence[m] = L; send_grant(2, m)
    /* The release by A's first incarnation arrives. */
    :: release_pending & (1 << m) ->
        release_pending = release_pending & (7 - (1 << m));
        released_incarnations[m] = released_incarnations[m] | 1;
#ifdef RELEASE_ANY_LIFE
        granted_lease[m] = 0
#else
        granted_lease[m] = (lease_incarnation[m] == 0 -> 0 : granted_lease[m])
#endif
    fi
}

/* The link checks and later writes the call; it may be paused in between. */
inline holder_step(x, may) {
    update_holding(x, may);
    if
    :: may && !checked[x] && (call_left[2 * x] > 0) + (call_left[2 * x + 1] > 0) < limit[x] ->
        checked[x] = true
    :: checked[x] && may ->
        checked[x] = false;
        assert(running_calls < limit[x]);
        assert(!(taken_over && x == 0 && limit[x] == WARM_LIMIT));
        taken_over = taken_over || x > 0;
        if
        :: call_left[2 * x] == 0 -> call_left[2 * x] = ATTEMPT_TICKS
        :: call_left[2 * x] > 0 -> call_left[2 * x + 1] = ATTEMPT_TICKS
        fi
    /* The check lapsed during a pause: the call slips, and the next one is checked again. */
    :: checked[x] && !may -> checked[x] = false
    /* A reply arrives. */
    :: call_left[2 * x] > 0 -> call_left[2 * x] = call_left[2 * x + 1]; call_left[2 * x + 1] = 0
    :: else
    fi
}

inline decrement(v) { v = (v > 0 -> v - 1 : 0) }

inline tick() {
    decrement(granted_lease[0]); decrement(granted_lease[1]); decrement(granted_lease[2]);
    decrement(granted_fence[0]); decrement(granted_fence[1]); decrement(granted_fence[2]);
    decrement(restart_hold[0]); decrement(restart_hold[1]); decrement(restart_hold[2]);
    decrement(held_lease[0]); decrement(held_lease[1]); decrement(held_lease[2]);
    decrement(held_lease[3]); decrement(held_lease[4]); decrement(held_lease[5]);
    decrement(held_fence[0]); decrement(held_fence[1]); decrement(held_fence[2]);
    decrement(call_left[0]); decrement(call_left[1]); decrement(call_left[2]);
        decrement(call_left[4]);
    decrement(grant_left)
}

active proctype fleet() {
    incarnation_started[0] = true;
    limit[0] = WARM_LIMIT;
    was_holder[0] = true;
    /* A holds the upstream at the start. */
    held_lease[0] = L; held_lease[1] = L; held_lease[2] = L;
    granted_lease[0] = L; granted_lease[1] = L; granted_lease[2] = L;
end:
    do
    :: atomic { if :: monitor_step(0) :: monitor_step(1) :: monitor_step(2) fi }
#ifdef CALLS
    :: atomic { true -> holder_step(0, may_start0) }
    :: atomic { true -> holder_step(2, may_start2) }
#endif
#ifdef LIVES
    :: atomic { incarnation_started[1] -> holder_step(1, may_start1) }
    :: atomic { !incarnation_started[1] -> incarnation_started[1] = true }
#endif
    :: atomic { assert(may_start0 + may_start1 + may_start2 <= 1) }
#ifdef DELAYS
    /* The grant arrives, or is lost. */
    :: atomic { grant_left > 0 ->
#ifdef LEASE_FROM_RECEIPT
        grant_left = L;
#endif
        if
        :: receive_grant(grant_holder, grant_monitor, grant_left)
        :: true
        fi;
        grant_left = 0; grant_holder = 0; grant_monitor = 0 }
#endif
#ifndef LIVES
    /* A monitor restarts and forgets its grants; all are alike, so it is always the first one. */
    :: atomic { monitor_restarts < 1 -> monitor_restarts++; granted_lease[0] = 0;
        granted_fence[0] = 0; lease_incarnation[0] = 0; released_incarnations[0] = 0;
#ifndef NO_HOLD
        restart_hold[0] = L
#endif
        }
    :: atomic { !ended[2] -> ended[2] = true; checked[2] = false; was_holder[2] = false;
        limit[2] = 1;
        held_fence[0] = 0; held_fence[1] = 0; held_fence[2] = 0 }
#endif
    /* A crashes; its calls go on at the upstream. */
    :: atomic { !ended[0] -> ended[0] = true; checked[0] = false; was_holder[0] = false;
        limit[0] = 1;
        held_lease[0] = 0; held_lease[1] = 0; held_lease[2] = 0 }
    /* A leaves: it starts no call, waits for the running ones and releases its lease. */
    :: atomic { !ended[0] && !leaving -> leaving = true; checked[0] = false }
#ifdef RELEASE_EARLY
    :: atomic { leaving && !ended[0] ->
#else
    :: atomic { leaving && !ended[0] && call_left[0] + call_left[1] == 0 && !checked[0] ->
#endif
        ended[0] = true; was_holder[0] = false; limit[0] = 1; release_pending = 7;
        held_lease[0] = 0; held_lease[1] = 0; held_lease[2] = 0 }
    :: atomic { tick(); if :: grant_left == 0 -> grant_holder = 0; grant_monitor = 0 :: else fi }
    od
}
