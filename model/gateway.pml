/*
 * A gateway on the platform: one order, and the version of the configuration.
 * Models docs/platform.md, `Orders` and `Who reads the store` (src/libs/fanout/fanout.h,
 * src/libs/gateway/collectionwatch.h).
 *
 * run: orders -DORDERS
 *   A host sends one non-idempotent request to upstreams, one call at a time. A call may
 *   be refused with the mark `not run`, find nobody at the address, run, lose its
 *   connection at any time, or arrive after its connection is lost; a late refusal of an
 *   earlier request may stand on the connection. Properties: the request runs once at
 *   most; after the caller is told `not run` it never runs.
 * run: versions -DVERSIONS
 *   The store, a host that reads the newest state, and a host whose reads may lag, which
 *   may restart, lose the store and read the state of the first host. Ticks: the first host
 *   has a change within 1, its heartbeat arrives within 1 more, and a change that others
 *   have is waited for within 1 more. Properties: in one lifetime the version never falls;
 *   a host with contact to the store has a change 3 ticks after its acknowledgement.
 *
 * mutant: RETRY_AFTER_LOST orders       a call whose connection is lost is sent again
 * mutant: NOT_RUN_AFTER_LOST orders     a lost call is reported as not run
 * mutant: NOT_RUN_AFTER_TIMEOUT orders  a call without reply is reported as not run
 * mutant: UNMARKED_REFUSAL orders       an upstream's failure without the mark counts as not run
 * mutant: FOREIGN_REPLY orders          a late refusal of another request counts for the call
 * mutant: LAG_BACK versions             a state that lags replaces a newer one
 * mutant: PEER_BACK versions            the state of another host replaces a newer one
 * mutant: NO_CATCH_UP versions          heartbeats tell nothing about changes
 */

#ifdef ORDERS
#define CALLS 3
#define NO_CALL CALLS

/* Of a call: not sent, on its way, run, refused, nobody at the address, over. */
mtype = { unused, under_way, ran, refused, nobody, over };

mtype call[CALLS] = unused;
byte sent, runs;
byte awaited = NO_CALL;         /* the call whose reply the host waits for */
bool answered, told_not_run;

inline end_request(not_run) {
    answered = true;
    told_not_run = not_run;
    awaited = NO_CALL;
    assert(!told_not_run || runs == 0)
}

active proctype host() {
end:
    do
    :: atomic { !answered && awaited == NO_CALL && sent < CALLS ->
        call[sent] = under_way; awaited = sent; sent++ }
    :: atomic { !answered && awaited == NO_CALL -> end_request(true) }
    :: atomic { awaited != NO_CALL && call[awaited] == refused -> call[awaited] = over; awaited = NO_CALL }
    :: atomic { awaited != NO_CALL && call[awaited] == nobody -> call[awaited] = over; awaited = NO_CALL }
    :: atomic { awaited != NO_CALL && call[awaited] == ran -> call[awaited] = over;
#ifdef UNMARKED_REFUSAL
        awaited = NO_CALL
#else
        end_request(false)
#endif
        }
    /* The connection ends; the call may still arrive. */
    :: atomic { awaited != NO_CALL && (call[awaited] == under_way || call[awaited] == ran) ->
#ifdef RETRY_AFTER_LOST
        awaited = NO_CALL
#else
#ifdef NOT_RUN_AFTER_LOST
        end_request(true)
#else
        end_request(false)
#endif
#endif
        }
    /* Bytes of an earlier request stand on the connection. */
    :: atomic { awaited != NO_CALL && (call[awaited] == under_way || call[awaited] == ran) ->
#ifdef FOREIGN_REPLY
        awaited = NO_CALL
#else
        end_request(false)
#endif
        }
    /* The time of the request is over. */
    :: atomic { awaited != NO_CALL ->
#ifdef NOT_RUN_AFTER_TIMEOUT
        end_request(true)
#else
        end_request(false)
#endif
        }
    od
}

active [CALLS] proctype upstream() {
end:
    do
    :: atomic { call[_pid - 1] == under_way -> call[_pid - 1] = ran; runs++;
        assert(runs <= 1 && !told_not_run) }
    :: atomic { call[_pid - 1] == under_way -> call[_pid - 1] = refused }
    :: atomic { call[_pid - 1] == under_way -> call[_pid - 1] = nobody }
    od
}
#endif

#ifdef VERSIONS
#define READER_BOUND 1
#define HEARD_BOUND 2
#define CATCH_UP_BOUND 3
#define LAST_VERSION 3

byte stored = 1;                /* newest acknowledged version */
byte first = 1;                 /* version of the host that reads the newest state */
byte own;                       /* version of the host whose reads may lag; 0 after its start */
byte heard;                     /* newest version that heartbeats told it */
bool contact;                   /* it has contact to the store */
byte age;                       /* ticks since the acknowledgement, or since contact was regained */

inline take(version) {
#ifndef LAG_BACK
    if
    :: version > own -> own = version
    :: else
    fi
#else
    assert(version >= own);
    own = version
#endif
}

active proctype fleet() {
    byte shown;
end:
    do
    /* The operator changes the configuration; the next change waits for the bound. */
    :: atomic { stored < LAST_VERSION && age >= CATCH_UP_BOUND -> stored++; age = 0 }
    :: atomic { first < stored -> first = stored }
    :: atomic { heard < first ->
#ifndef NO_CATCH_UP
        heard = first
#else
        skip
#endif
        }
    /* A read that may lag shows any version. */
    :: atomic { contact ->
        if
        :: shown = 1
        :: stored >= 2 -> shown = 2
        :: shown = stored
        fi;
        take(shown) }
    /* A change that others have is missing: the newest state is read. */
    :: atomic { contact && heard > own -> take(stored) }
    :: atomic { !contact ->
#ifndef PEER_BACK
        if
        :: first > own -> own = first
        :: else
        fi
#else
        assert(first >= own);
        own = first
#endif
        }
    :: atomic { contact -> contact = false }
    :: atomic { !contact -> contact = true; age = 0 }
    /* A new lifetime; both hosts may restart. */
    :: atomic { own = 0; heard = 0; contact = false; age = 0 }
    :: atomic { first = 0; age = 0 }
    /* Time passes only as far as the bounds allow. */
    :: atomic { age < CATCH_UP_BOUND &&
        !(first < stored && age + 1 > READER_BOUND) &&
#ifndef NO_CATCH_UP
        !(heard < first && age + 1 > HEARD_BOUND) &&
        !(contact && heard > own && age + 1 >= CATCH_UP_BOUND) &&
#endif
        true -> age++;
        assert(age < CATCH_UP_BOUND || !contact || own == stored) }
    od
}
#endif
