/*
 * A non-idempotent request with repeats: at most one run per key.
 * Models docs/design.md section 7 (src/libs/orders/ordercoordinator.h).
 *
 * Three attempts with the same key, at different hosts; each may be paused (any
 * interleaving) or die at any step. Bounds: each attempt sends at most two
 * conditional writes before its call and one after it (`not_run` is written again
 * if its reply is lost); every write may be
 * delayed beyond the attempt's end, take effect without a reply, or be refused
 * in an outage; reads may fail. The call may be run late or never, be shed, and
 * lose its reply. A not_run record may be claimed by the next attempt.
 *
 * Properties: one run per key; an attempt that ended as `not_run` has not run
 * and never will; an outcome `answered` belongs to the run.
 *
 * run: orders
 *
 * mutant: NO_CONDITION orders     the creating write replaces any record
 * mutant: SEND_UNCONFIRMED orders the call is sent although the write's reply is lost
 * mutant: NO_ATTEMPT_ID orders    a record that is read back counts as the own one
 * mutant: CLAIM_STARTED orders    a later attempt claims a record in state `started`
 * mutant: LOST_IS_NOT_RUN orders  a lost reply of the call is recorded as `not_run`
 * mutant: SEND_AFTER_END orders   a late reply of the store still sends the call
 * mutant: BLIND_NOT_RUN orders    `not_run` is written without the record's version
 */
#define N 3
#define NOBODY 9

mtype = { idle, created, reading, sending, called, recording, ended };
mtype = { none, started, done, not_run };
mtype = { open, answered, refused, unknown };

/* The record in the store. */
byte ver;
mtype state = none;
byte owner = NOBODY;

/* One attempt: its step, the outcome told to the caller, the version it expects. */
mtype step[N] = idle;
mtype told[N] = open;
byte expect[N];
/* Writes under way: the one before the call, and the one after it. */
byte claims[N], claim_ver[N], finals[N], final_ver[N];
mtype final_state[N] = none;
/* The call: under way to the searcher; the searcher's reply under way. */
bool call[N], shed[N], reply[N];
byte runs[N];
byte total;

inline finish(a, outcome) {
    assert(!(outcome == refused && (runs[a] > 0 || call[a])));
    assert(!(outcome == answered && total == 0));
    if
    :: told[a] == open -> told[a] = outcome
    :: else
    fi;
    step[a] = ended
}

/* What an attempt does with a record that is not its own. */
inline foreign(a) {
    if
    :: state == done -> finish(a, answered)
#ifdef CLAIM_STARTED
    :: state == not_run || state == started ->
#else
    :: state == started -> finish(a, unknown)
    :: state == not_run ->
#endif
        if
        :: claims[a] == 0 -> expect[a] = ver; claim_ver[a] = ver; claims[a] = 1; step[a] = created
        :: true -> finish(a, refused)
        fi
    fi
}

inline store_step(a) {
    if
    /* The write of a claim takes effect if the record is as expected. */
    :: claims[a] > 0 ->
        claims[a]--;
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: claim_ver[a] == ver ->
#endif
            ver++; state = started; owner = a;
            if
#ifdef SEND_AFTER_END
            :: step[a] == created || (step[a] == ended && told[a] == refused) -> step[a] = sending
#else
            :: step[a] == created -> expect[a] = ver; step[a] = sending
#endif
            :: true /* the reply is lost */
            fi
        :: claim_ver[a] != ver ->
            if
            :: step[a] == created -> step[a] = reading
            :: true
            fi
        fi
    /* Outage, or the request is lost: nothing is written. */
    :: claims[a] > 0 -> claims[a]--
    :: finals[a] > 0 ->
        finals[a]--;
        if
#ifdef BLIND_NOT_RUN
        :: final_ver[a] == ver || final_state[a] == not_run ->
#else
        :: final_ver[a] == ver ->
#endif
            ver++; state = final_state[a]
        :: else
        fi
    :: finals[a] > 0 -> finals[a]--
    fi
}

inline searcher_step(a) {
    if
    :: call[a] -> call[a] = false; runs[a]++; total++; assert(total <= 1);
        assert(told[a] != refused); reply[a] = true
    :: call[a] -> call[a] = false; shed[a] = true
    :: call[a] -> call[a] = false /* lost on the way */
    :: reply[a] -> reply[a] = false /* the reply is lost */
    :: shed[a] -> shed[a] = false
    fi
}

inline attempt_step(a) {
    if
    :: step[a] == idle -> claim_ver[a] = 0; claims[a] = 1; step[a] = created
    /* No reply of the store. */
    :: step[a] == created ->
#ifdef SEND_UNCONFIRMED
        step[a] = sending
#else
        step[a] = reading
#endif
    :: step[a] == reading ->
        if
#ifdef NO_ATTEMPT_ID
        :: state == started -> expect[a] = ver; step[a] = sending
#else
        :: state == started && owner == a -> expect[a] = ver; step[a] = sending
#endif
        /* Not there, or it cannot be read: nothing was sent, and nothing will be. */
        :: state == none -> finish(a, refused)
        :: true -> finish(a, refused)
        :: state != none && owner != a -> foreign(a)
        fi
    /* The deadline has passed before the call. */
    :: step[a] == sending -> finish(a, refused)
    :: step[a] == sending -> call[a] = true; step[a] = called
    :: step[a] == called && reply[a] -> reply[a] = false; finish(a, answered);
        final_state[a] = done; final_ver[a] = expect[a]; finals[a] = 1
    :: step[a] == called && shed[a] -> shed[a] = false; finish(a, refused);
        final_state[a] = not_run; final_ver[a] = expect[a]; finals[a] = 2
    /* No reply of the searcher in time. */
    :: step[a] == called ->
#ifdef LOST_IS_NOT_RUN
        step[a] = ended; told[a] = unknown;
        final_state[a] = not_run; final_ver[a] = expect[a]; finals[a] = 1
#else
        finish(a, unknown)
#endif
    /* The host dies. */
    :: step[a] != ended -> told[a] = unknown; step[a] = ended
    fi
}

active proctype fleet() {
end:
    do
    :: atomic { if :: store_step(0) :: store_step(1) :: store_step(2) fi }
    :: atomic { if :: searcher_step(0) :: searcher_step(1) :: searcher_step(2) fi }
    :: atomic { if :: attempt_step(0) :: attempt_step(1) :: attempt_step(2) fi }
    od
}
