/*
 * A non-idempotent request that is repeated under one key runs at most once.
 * Models docs/design.md section 7 (src/libs/orders/ordercoordinator.h).
 *
 * Three attempts with the same key at different hosts. Each may pause (any interleaving) or
 * crash at any step. Bounds: each attempt sends at most two conditional writes before its call
 * and one after it (`not_run` is written again if the reply is lost). Every write may be delayed
 * beyond the end of the attempt, take effect without a reply, or be refused in an outage; reads
 * may fail. The call may run late or never, be shed, and lose its reply. The next attempt may
 * claim a record in state `not_run`.
 *
 * Properties: at most one run per key; the call of an attempt that ended as `not_run` has not
 * run and never will; the outcome `answered` is told only if the request has run.
 *
 * run: orders
 *
 * mutant: NO_CONDITION orders     the creating write replaces any record
 * mutant: SEND_UNCONFIRMED orders the call is sent although the write's reply is lost
 * mutant: NO_ATTEMPT_ID orders    any `started` record that is read back counts as the own one
 * mutant: CLAIM_STARTED orders    a later attempt claims a record in state `started`
 * mutant: LOST_IS_NOT_RUN orders  a lost reply of the call is recorded as `not_run`
 * mutant: SEND_AFTER_END orders   a reply of the store after the attempt's end still sends the call
 * mutant: BLIND_NOT_RUN orders    `not_run` is written without the record's version
 */
#define ATTEMPTS 3
#define NO_OWNER 9

mtype = { idle, claiming, reading, claimed, awaiting_reply, recording, ended };
mtype = { none, started, done, not_run };
mtype = { undecided, answered, refused, unknown };

/* The record in the store. */
byte record_version;
mtype record_state = none;
byte record_owner = NO_OWNER;

/* Per attempt: its step, the outcome told to the caller, and the expected version of the record. */
mtype step[ATTEMPTS] = idle;
mtype outcome[ATTEMPTS] = undecided;
byte expected_version[ATTEMPTS];
/* Per attempt: writes in flight, before the call (claim) and after it (final), with the version
   that is their condition. */
byte claim_writes[ATTEMPTS], claim_version[ATTEMPTS], final_writes[ATTEMPTS],
    final_version[ATTEMPTS];
mtype final_state[ATTEMPTS] = none;
/* Per attempt: the call, the refusal or the reply is in flight. */
bool call_in_flight[ATTEMPTS], shed_reply[ATTEMPTS], reply_in_flight[ATTEMPTS];
byte runs[ATTEMPTS];
byte total_runs;

inline finish(a, result) {
    assert(!(result == refused && (runs[a] > 0 || call_in_flight[a])));
    assert(!(result == answered && total_runs == 0));
    if
    :: outcome[a] == undecided -> outcome[a] = result
    :: else
    fi;
    step[a] = ended
}

/* Attempt a handles a record that is not its own. */
inline handle_other_record(a) {
    if
    :: record_state == done -> finish(a, answered)
#ifdef CLAIM_STARTED
    :: record_state == not_run || record_state == started ->
#else
    :: record_state == started -> finish(a, unknown)
    :: record_state == not_run ->
#endif
        if
        :: claim_writes[a] == 0 -> expected_version[a] = record_version;
            claim_version[a] = record_version; claim_writes[a] = 1; step[a] = claiming
        :: true -> finish(a, refused)
        fi
    fi
}

inline store_step(a) {
    if
    /* A claim takes effect if the record is at the expected version. */
    :: claim_writes[a] > 0 ->
        claim_writes[a]--;
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: claim_version[a] == record_version ->
#endif
            record_version++; record_state = started; record_owner = a;
            if
#ifdef SEND_AFTER_END
            :: step[a] == claiming || (step[a] == ended && outcome[a] == refused) ->
                step[a] = claimed
#else
            :: step[a] == claiming -> expected_version[a] = record_version; step[a] = claimed
#endif
            :: true /* the reply is lost */
            fi
        :: claim_version[a] != record_version ->
            if
            :: step[a] == claiming -> step[a] = reading
            :: true
            fi
        fi
    /* The store refuses the claim in an outage, or it is lost: nothing is written. */
    :: claim_writes[a] > 0 -> claim_writes[a]--
    :: final_writes[a] > 0 ->
        final_writes[a]--;
        if
#ifdef BLIND_NOT_RUN
        :: final_version[a] == record_version || final_state[a] == not_run ->
#else
        :: final_version[a] == record_version ->
#endif
            record_version++; record_state = final_state[a]
        :: else
        fi
    :: final_writes[a] > 0 -> final_writes[a]--
    fi
}

inline upstream_step(a) {
    if
    :: call_in_flight[a] -> call_in_flight[a] = false; runs[a]++; total_runs++;
        assert(total_runs <= 1);
        assert(outcome[a] != refused); reply_in_flight[a] = true
    :: call_in_flight[a] -> call_in_flight[a] = false; shed_reply[a] = true
    :: call_in_flight[a] -> call_in_flight[a] = false /* lost on the way */
    :: reply_in_flight[a] -> reply_in_flight[a] = false /* the reply is lost */
    :: shed_reply[a] -> shed_reply[a] = false
    fi
}

inline attempt_step(a) {
    if
    :: step[a] == idle -> claim_version[a] = 0; claim_writes[a] = 1; step[a] = claiming
    /* The store does not reply. */
    :: step[a] == claiming ->
#ifdef SEND_UNCONFIRMED
        step[a] = claimed
#else
        step[a] = reading
#endif
    :: step[a] == reading ->
        if
#ifdef NO_ATTEMPT_ID
        :: record_state == started -> expected_version[a] = record_version; step[a] = claimed
#else
        :: record_state == started && record_owner == a -> expected_version[a] = record_version;
            step[a] = claimed
#endif
        /* The record does not exist or cannot be read: the call was not and will not be sent. */
        :: record_state == none -> finish(a, refused)
        :: true -> finish(a, refused)
        :: record_state != none && record_owner != a -> handle_other_record(a)
        fi
    /* The deadline passes before the call is sent. */
    :: step[a] == claimed -> finish(a, refused)
    :: step[a] == claimed -> call_in_flight[a] = true; step[a] = awaiting_reply
    :: step[a] == awaiting_reply && reply_in_flight[a] -> reply_in_flight[a] = false;
        finish(a, answered);
        final_state[a] = done; final_version[a] = expected_version[a]; final_writes[a] = 1
    :: step[a] == awaiting_reply && shed_reply[a] -> shed_reply[a] = false; finish(a, refused);
        final_state[a] = not_run; final_version[a] = expected_version[a]; final_writes[a] = 2
    /* The upstream does not reply in time. */
    :: step[a] == awaiting_reply ->
#ifdef LOST_IS_NOT_RUN
        step[a] = ended; outcome[a] = unknown;
        final_state[a] = not_run; final_version[a] = expected_version[a]; final_writes[a] = 1
#else
        finish(a, unknown)
#endif
    /* The host crashes. */
    :: step[a] != ended -> outcome[a] = unknown; step[a] = ended
    fi
}

active proctype fleet() {
end:
    do
    :: atomic { if :: store_step(0) :: store_step(1) :: store_step(2) fi }
    :: atomic { if :: upstream_step(0) :: upstream_step(1) :: upstream_step(2) fi }
    :: atomic { if :: attempt_step(0) :: attempt_step(1) :: attempt_step(2) fi }
    od
}
