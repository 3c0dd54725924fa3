/*
 * Gateways: a non-idempotent request, and the version of the configuration at a gateway host.
 * Models docs/platform.md, `Orders` and `Who reads the store` (src/libs/fanout/fanout.h,
 * src/libs/gateway/collectionwatch.h).
 *
 * run: orders -DORDERS
 *   A host sends one non-idempotent request to upstreams, one call at a time. A call may be
 *   refused with the mark `not run`, fail to reach the address, run, lose its connection at any
 *   time, or arrive after its connection is lost. A late refusal of an earlier request may be
 *   the first reply on the connection. Properties: the request runs at most once; once the
 *   caller is told `not run`, it never runs.
 * run: versions -DVERSIONS
 *   The store, one host that reads the newest state, and a second host whose reads may lag. The
 *   second may restart, lose contact to the store, and read the state of the first. Ticks: the
 *   first host has a change within 1, its heartbeat arrives within 1 more, and the second host
 *   fetches a change that a heartbeat announced within 1 more. Properties: the version never
 *   falls between restarts; a host with contact to the store has a change 3 ticks after the
 *   store acknowledged it.
 *
 * mutant: RETRY_AFTER_LOST orders       a call whose connection is lost is sent again
 * mutant: NOT_RUN_AFTER_LOST orders     a lost call is reported as not run
 * mutant: NOT_RUN_AFTER_TIMEOUT orders  a call without reply is reported as not run
 * mutant: UNMARKED_REFUSAL orders       an upstream's failure without the mark counts as not run
 * mutant: FOREIGN_REPLY orders          the late refusal of an earlier request counts for the call
 * mutant: LAG_BACK versions             a lagging read replaces a newer state
 * mutant: PEER_BACK versions            the state of another host replaces a newer one
 * mutant: NO_CATCH_UP versions          heartbeats do not announce changes
 */

#ifdef ORDERS
#define CALLS 3
#define NO_CALL CALLS

/* State of a call: not sent, on its way, run, refused, address not reached, settled. */
mtype = { unused, in_flight, ran, refused, unreachable, over };

mtype call_state[CALLS] = unused;
byte sent_calls, runs;
byte awaited_call = NO_CALL; /* the call whose reply the host waits for */
bool answered, reported_not_run;

/* The host answers the caller; not_run: it reports that the request has not run. */
inline end_request(not_run) {
    answered = true;
    reported_not_run = not_run;
    awaited_call = NO_CALL;
    assert(!reported_not_run || runs == 0)
}

active proctype host() {
end:
    do
    :: atomic { !answered && awaited_call == NO_CALL && sent_calls < CALLS ->
        call_state[sent_calls] = in_flight; awaited_call = sent_calls; sent_calls++ }
    /* The host gives up; all earlier calls were refused or not delivered. */
    :: atomic { !answered && awaited_call == NO_CALL -> end_request(true) }
    :: atomic { awaited_call != NO_CALL && call_state[awaited_call] == refused ->
        call_state[awaited_call] = over; awaited_call = NO_CALL }
    :: atomic { awaited_call != NO_CALL && call_state[awaited_call] == unreachable ->
        call_state[awaited_call] = over; awaited_call = NO_CALL }
    :: atomic { awaited_call != NO_CALL && call_state[awaited_call] == ran ->
        call_state[awaited_call] = over;
#ifdef UNMARKED_REFUSAL
        awaited_call = NO_CALL
#else
        end_request(false)
#endif
        }
    /* The connection is lost; the call may still arrive. */
    :: atomic { awaited_call != NO_CALL &&
        (call_state[awaited_call] == in_flight || call_state[awaited_call] == ran) ->
#ifdef RETRY_AFTER_LOST
        awaited_call = NO_CALL
#else
#ifdef NOT_RUN_AFTER_LOST
        end_request(true)
#else
        end_request(false)
#endif
#endif
        }
    /* The first reply on the connection belongs to an earlier request. */
    :: atomic { awaited_call != NO_CALL &&
        (call_state[awaited_call] == in_flight || call_state[awaited_call] == ran) ->
#ifdef FOREIGN_REPLY
        awaited_call = NO_CALL
#else
        end_request(false)
#endif
        }
    /* The deadline of the request passes. */
    :: atomic { awaited_call != NO_CALL ->
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
    :: atomic { call_state[_pid - 1] == in_flight -> call_state[_pid - 1] = ran; runs++;
        assert(runs <= 1 && !reported_not_run) }
    :: atomic { call_state[_pid - 1] == in_flight -> call_state[_pid - 1] = refused }
    :: atomic { call_state[_pid - 1] == in_flight -> call_state[_pid - 1] = unreachable }
    od
}
#endif

#ifdef VERSIONS
#define MAX_READ_TICKS 1
#define MAX_HEARTBEAT_TICKS 2
#define MAX_CATCH_UP_TICKS 3
#define LAST_VERSION 3

byte stored_version = 1; /* newest acknowledged version */
byte reader_version = 1; /* version of the host that reads the newest state */
byte host_version; /* version of the host whose reads may lag; 0 after its start */
byte heartbeat_version; /* newest version that heartbeats announced to it */
bool store_contact; /* the host whose reads may lag reaches the store */
byte age; /* ticks since the acknowledgement, or since contact was regained */

inline adopt(version) {
#ifndef LAG_BACK
    if
    :: version > host_version -> host_version = version
    :: else
    fi
#else
    assert(version >= host_version);
    host_version = version
#endif
}

active proctype fleet() {
    byte read_version;
end:
    do
    /* The operator changes the configuration, not before the previous change must be known. */
    :: atomic { stored_version < LAST_VERSION && age >= MAX_CATCH_UP_TICKS -> stored_version++;
        age = 0 }
    :: atomic { reader_version < stored_version -> reader_version = stored_version }
    :: atomic { heartbeat_version < reader_version ->
#ifndef NO_CATCH_UP
        heartbeat_version = reader_version
#else
        skip
#endif
        }
    /* A read that may lag shows any version. */
    :: atomic { store_contact ->
        if
        :: read_version = 1
        :: stored_version >= 2 -> read_version = 2
        :: read_version = stored_version
        fi;
        adopt(read_version) }
    /* A heartbeat announced a newer version: the host reads the newest state. */
    :: atomic { store_contact && heartbeat_version > host_version -> adopt(stored_version) }
    /* Without contact to the store the host reads the state of the other host. */
    :: atomic { !store_contact ->
#ifndef PEER_BACK
        if
        :: reader_version > host_version -> host_version = reader_version
        :: else
        fi
#else
        assert(reader_version >= host_version);
        host_version = reader_version
#endif
        }
    :: atomic { store_contact -> store_contact = false }
    :: atomic { !store_contact -> store_contact = true; age = 0 }
    /* Either host restarts. */
    :: atomic { host_version = 0; heartbeat_version = 0; store_contact = false; age = 0 }
    :: atomic { reader_version = 0; age = 0 }
    /* Time passes unless a bound would be exceeded. */
    :: atomic { age < MAX_CATCH_UP_TICKS &&
        !(reader_version < stored_version && age + 1 > MAX_READ_TICKS) &&
#ifndef NO_CATCH_UP
        !(heartbeat_version < reader_version && age + 1 > MAX_HEARTBEAT_TICKS) &&
        !(store_contact && heartbeat_version > host_version && age + 1 >= MAX_CATCH_UP_TICKS) &&
#endif
        true -> age++;
        assert(age < MAX_CATCH_UP_TICKS || !store_contact || host_version == stored_version) }
    od
}
#endif
