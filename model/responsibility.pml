/*
 * Responsibility for one searcher: leases, fences, slip and cold-start limit.
 * Models docs/design.md sections 4 and 6 (src/libs/membership/leaseregistry.h,
 * src/libs/membership/membershipagent.h, src/libs/dispatch/upstreamdispatcher.h).
 *
 * Host A is the first candidate, host B the second. Holders are 0: A in its
 * first life, 1: A in its second life, 2: B. A first life may be paused while
 * the second one runs. Three monitors of A, majority 2. B's own lease is taken
 * to be valid at all times, which only allows more. Any two candidates exclude
 * each other by the monitors of the one that comes first, so two hosts suffice.
 *
 * Bounds: lease and fence L = 2 or 3 ticks, attempt T = L - 1 ticks, one restart
 * of a monitor and a crash of B (neither with both lives of A), two calls of a
 * warm holder; each holder has one link that checks
 * at a time, so the slip is one call per holder. The request and its grant are
 * one step, since a later grant only shortens what the asking host may do. For
 * the same reason a grant arrives at once, except in the run `delays`, which has
 * one grant under way at a time and no calls.
 *
 * Properties: no two holders may start calls at the same time; a call that a
 * holder starts finds fewer than its own limit of calls in flight, not counting
 * slipped ones (calls that were checked, and written after the check had lapsed);
 * a holder does not go on with its warm limit after another one has started calls.
 *
 * run: delays -DDELAYS -DL=3            A's first life and B, delayed grants
 * run: takeover -DCALLS -DL=3           A's first life and B with calls
 * run: incarnations -DCALLS -DLIVES -DL=2 both lives of A, late release, B, calls
 *
 * mutant: NO_HOLD delays            a restarted monitor grants at once
 * mutant: LEASE_FROM_RECEIPT delays a lease or fence counts from receipt
 * mutant: ONE_MONITOR delays        one grant is enough
 * mutant: NO_COVER takeover           the check does not cover the attempt
 * mutant: FENCE_NOT_COVERED takeover  only the own lease covers the attempt, not the fences
 * mutant: RELEASE_EARLY takeover      the lease is released while calls run
 * mutant: REGAIN_WARM takeover        a holder that lost its lease stays warm
 * mutant: LAPSE_UNNOTICED takeover    a grant that follows a lapse hides the lapse
 * mutant: ANY_LIFE incarnations       a new life gets a grant while one of the former life lasts
 * mutant: RELEASE_ANY_LIFE incarnations a release counts for a later life
 */
#define M 3
#define T (L - 1)
#define WARM 2

byte act[M], fence[M], hold[M]; /* remaining ticks at the monitors */
bit life[M];                    /* life that has the last grant */
byte released[M];               /* lives whose release the monitor knows, as bits */
byte restarts;
byte lease[6];                  /* [3 * life + monitor]: remaining ticks, as A counts */
byte fenced[M];                 /* as B counts */
byte mto, mfrom, mleft;         /* grant under way: holder, monitor, remaining ticks */
byte releasing;                 /* monitors that A's first release has not reached, as bits */
bool gone[3], leaving, started[3];
bool checked[3], was[3];        /* the link has passed the check; held at the last look */
byte calls[6];                  /* remaining ticks of running calls, two for each holder */
byte limit[3] = 1;
bool taken_over;                /* another holder has started a call */

#define two(a, b, c) ((a) + (b) + (c) >= NEEDED)
#ifdef ONE_MONITOR
#define NEEDED 1
#else
#define NEEDED 2
#endif
#ifdef NO_COVER
#define COVER 1
#else
#define COVER T
#endif
#ifdef FENCE_NOT_COVERED
#define FENCE_COVER 1
#else
#define FENCE_COVER COVER
#endif
#define holds_a(i, n) two((lease[3 * i] >= n), (lease[3 * i + 1] >= n), (lease[3 * i + 2] >= n))
#define holds_b(n) two((fenced[0] >= n), (fenced[1] >= n), (fenced[2] >= n))
#define may0 (!gone[0] && !leaving && holds_a(0, COVER))
#define may1 (started[1] && holds_a(1, COVER))
#define may2 (!gone[2] && holds_b(FENCE_COVER))
#define running ((calls[0] > 0) + (calls[1] > 0) + (calls[2] > 0) + (calls[4] > 0))

/* A holder sees whether it still holds; it restarts cold after a loss. */
inline look(x, valid) {
    if
    :: valid && !was[x] -> was[x] = true;
#ifdef REGAIN_WARM
        limit[x] = (x == 0 -> WARM : 1)
#else
        limit[x] = 1
#endif
    :: !valid && was[x] -> was[x] = false; limit[x] = 1
    :: else
    fi
}

/* A grant arrives; a lapse before it must be seen. */
inline arrive(x, m, left) {
    if
    :: x == 0 ->
#ifndef LAPSE_UNNOTICED
        look(0, holds_a(0, 1));
#endif
        lease[m] = (lease[m] < left -> left : lease[m])
#ifdef LIVES
    :: x == 1 -> look(1, holds_a(1, 1)); lease[3 + m] = (lease[3 + m] < left -> left : lease[3 + m])
#endif
    :: x == 2 -> look(2, holds_b(1)); fenced[m] = (fenced[m] < left -> left : fenced[m])
    fi
}

inline send(x, m) {
#ifdef DELAYS
    mto = x; mfrom = m; mleft = L
#else
    if
    :: arrive(x, m, L)
    :: true /* the grant is lost */
    fi
#endif
}

inline monitor_step(m) {
    if
    /* A asks for a lease. */
    :: !gone[0] && !leaving && mleft == 0 && hold[m] == 0 && fence[m] == 0 &&
       (act[m] == 0 || life[m] == 0) && !(released[m] & 1) ->
        act[m] = L; life[m] = 0; send(0, m)
#ifdef LIVES
    :: started[1] && mleft == 0 && hold[m] == 0 && fence[m] == 0 &&
#ifndef ANY_LIFE
       (act[m] == 0 || life[m] == 1) &&
#endif
       true ->
        act[m] = L; life[m] = 1; send(1, m)
#endif
    /* B asks for a fence of A. */
    :: !gone[2] && mleft == 0 && hold[m] == 0 && act[m] == 0 ->
        fence[m] = L; send(2, m)
    /* The release of A's first life arrives. */
    :: releasing & (1 << m) ->
        releasing = releasing & (7 - (1 << m));
        released[m] = released[m] | 1;
#ifdef RELEASE_ANY_LIFE
        act[m] = 0
#else
        act[m] = (life[m] == 0 -> 0 : act[m])
#endif
    fi
}

/* The link checks, and later writes the call; a pause may lie between. */
inline holder_step(x, may) {
    look(x, may);
    if
    :: may && !checked[x] && (calls[2 * x] > 0) + (calls[2 * x + 1] > 0) < limit[x] ->
        checked[x] = true
    :: checked[x] && may ->
        checked[x] = false;
        assert(running < limit[x]);
        assert(!(taken_over && x == 0 && limit[x] == WARM));
        taken_over = taken_over || x > 0;
        if
        :: calls[2 * x] == 0 -> calls[2 * x] = T
        :: calls[2 * x] > 0 -> calls[2 * x + 1] = T
        fi
    /* Slip: the check lapsed during a pause; one call, and the next one checks again. */
    :: checked[x] && !may -> checked[x] = false
    /* A reply arrives. */
    :: calls[2 * x] > 0 -> calls[2 * x] = calls[2 * x + 1]; calls[2 * x + 1] = 0
    :: else
    fi
}

inline down(v) { v = (v > 0 -> v - 1 : 0) }

inline tick() {
    down(act[0]); down(act[1]); down(act[2]);
    down(fence[0]); down(fence[1]); down(fence[2]);
    down(hold[0]); down(hold[1]); down(hold[2]);
    down(lease[0]); down(lease[1]); down(lease[2]);
    down(lease[3]); down(lease[4]); down(lease[5]);
    down(fenced[0]); down(fenced[1]); down(fenced[2]);
    down(calls[0]); down(calls[1]); down(calls[2]); down(calls[4]);
    down(mleft)
}

active proctype fleet() {
    started[0] = true;
    limit[0] = WARM;
    was[0] = true;
    /* A holds when the run begins. */
    lease[0] = L; lease[1] = L; lease[2] = L;
    act[0] = L; act[1] = L; act[2] = L;
end:
    do
    :: atomic { if :: monitor_step(0) :: monitor_step(1) :: monitor_step(2) fi }
#ifdef CALLS
    :: atomic { true -> holder_step(0, may0) }
    :: atomic { true -> holder_step(2, may2) }
#endif
#ifdef LIVES
    :: atomic { started[1] -> holder_step(1, may1) }
    :: atomic { !started[1] -> started[1] = true }
#endif
    :: atomic { assert(may0 + may1 + may2 <= 1) }
#ifdef DELAYS
    /* The grant arrives, or is lost. */
    :: atomic { mleft > 0 ->
#ifdef LEASE_FROM_RECEIPT
        mleft = L;
#endif
        if
        :: arrive(mto, mfrom, mleft)
        :: true
        fi;
        mleft = 0; mto = 0; mfrom = 0 }
#endif
#ifndef LIVES
    /* A monitor restarts without memory; all are alike, so it is the first one. */
    :: atomic { restarts < 1 -> restarts++; act[0] = 0; fence[0] = 0; life[0] = 0; released[0] = 0;
#ifndef NO_HOLD
        hold[0] = L
#endif
        }
    :: atomic { !gone[2] -> gone[2] = true; checked[2] = false; was[2] = false; limit[2] = 1;
        fenced[0] = 0; fenced[1] = 0; fenced[2] = 0 }
#endif
    /* Crash: running calls go on at the searcher. */
    :: atomic { !gone[0] -> gone[0] = true; checked[0] = false; was[0] = false; limit[0] = 1;
        lease[0] = 0; lease[1] = 0; lease[2] = 0 }
    /* A leaves: no new call, running ones end, then it releases its lease. */
    :: atomic { !gone[0] && !leaving -> leaving = true; checked[0] = false }
#ifdef RELEASE_EARLY
    :: atomic { leaving && !gone[0] ->
#else
    :: atomic { leaving && !gone[0] && calls[0] + calls[1] == 0 && !checked[0] ->
#endif
        gone[0] = true; was[0] = false; limit[0] = 1; releasing = 7;
        lease[0] = 0; lease[1] = 0; lease[2] = 0 }
    :: atomic { tick(); if :: mleft == 0 -> mto = 0; mfrom = 0 :: else fi }
    od
}
