/*
 * Change of the configuration: acceptance by the store, and when a host may rely on its version.
 * Models docs/design.md section 5 (src/libs/operatorclient, src/libs/control,
 * src/libs/membership/membershipagent.h).
 *
 * run: acceptance -DACCEPTANCE
 *   Two operators that write concurrently, one further change, and at most two writes per
 *   operator. A write may be delayed, be lost or lose its reply; reads may be stale.
 *   Properties: each change is accepted at most once, each version has one author, and an
 *   operator is told "accepted" or "conflict" only if that is so.
 * run: currency -DCURRENCY
 *   Three witnesses (majority 2), an old and a new version, F = 1 tick, one host that may be
 *   cut off at any time (messages are lost or delayed), stale reads, two restarts of witnesses
 *   and any number of restarts of the host. A relayed token is modelled as a token with a
 *   longer delay. Ticks are clock steps; a token is valid up to age F.
 *   Properties: the host never replaces a version by a lower one, and admits nothing under an
 *   older version later than F after a majority of the witnesses knew the newer one.
 *
 * mutant: NO_CONDITION acceptance       the write has no condition on the version
 * mutant: NO_READBACK acceptance        a lost reply is reported as conflict
 * mutant: REJECT_IS_CONFLICT acceptance 412 to a repeated write is reported as conflict
 * mutant: SHORT_HISTORY acceptance      the object keeps one change id
 * mutant: ONE_TOKEN currency            one token is enough
 * mutant: VERSION_IGNORED currency      tokens that name a newer version count as well
 * mutant: AGE_FROM_RECEIPT currency     age counts from receipt, as if a relay dropped it
 * mutant: STORE_SUFFICES currency       a read from the store alone makes the host current
 * mutant: UNLEARNED_WITNESS currency    a restarted witness issues tokens at once
 * mutant: LEARNS_FROM_UNLEARNED currency a restarted witness learns from another such
 * mutant: TAKES_LOWER currency          a stale read replaces a newer version
 */

#ifdef ACCEPTANCE
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3
#ifdef SHORT_HISTORY
#define HISTORY_LENGTH 1
#else
/* Change ids that the object keeps; stands for 16, more than the changes made meanwhile. */
#define HISTORY_LENGTH 3
#endif

byte stored_version = 1;
byte author[6]; /* per version: 1 + operator that wrote it; 9: the further change */
byte base_version[2], writes_in_flight[2], attempts[2], outcome[2], acceptances[2],
    min_read_version[2];
bool awaiting_reply[2], reading[2];
bool other_change_made;

/* Operator o's change becomes the next version. */
inline take_effect(o) {
    assert(outcome[o] != CONFLICT);
    stored_version++;
    assert(author[stored_version] == 0);
    author[stored_version] = o + 1;
    acceptances[o]++;
    assert(acceptances[o] <= 1)
}

inline operator_step(o) {
    if
    /* Reads the object, perhaps a stale copy, and writes its change. */
    :: base_version[o] == 0 -> select(n : 1 .. stored_version); base_version[o] = n;
        writes_in_flight[o] = 1; attempts[o] = 1; awaiting_reply[o] = true
    /* The write reaches the store. */
    :: writes_in_flight[o] > 0 ->
        writes_in_flight[o]--;
        if
#ifdef NO_CONDITION
        :: stored_version < 5 ->
#else
        :: stored_version == base_version[o] ->
#endif
            take_effect(o);
            if
            :: awaiting_reply[o] -> awaiting_reply[o] = false; outcome[o] = ACCEPTED
            :: true /* the reply is lost */
            fi
        :: stored_version != base_version[o] ->
            if
#ifndef REJECT_IS_CONFLICT
            /* An earlier write of the same change may have been accepted. */
            :: awaiting_reply[o] && attempts[o] > 1 -> awaiting_reply[o] = false;
                reading[o] = true; min_read_version[o] = stored_version
            :: awaiting_reply[o] && attempts[o] == 1 -> awaiting_reply[o] = false;
                outcome[o] = CONFLICT
#else
            :: awaiting_reply[o] -> awaiting_reply[o] = false; outcome[o] = CONFLICT
#endif
            :: true
            fi
        fi
    /* The write never arrives. */
    :: writes_in_flight[o] > 0 -> writes_in_flight[o]--
    /* No reply in time. */
#ifdef NO_READBACK
    :: awaiting_reply[o] -> awaiting_reply[o] = false; outcome[o] = CONFLICT
#else
    :: awaiting_reply[o] -> awaiting_reply[o] = false; reading[o] = true;
        min_read_version[o] = base_version[o]
#endif
    /* Reads back; the copy may be stale, but not older than a version that o has seen. */
    :: reading[o] ->
        reading[o] = false;
        select(n : min_read_version[o] .. stored_version);
        found = false;
        version = n;
        do
        :: version > 1 && version + HISTORY_LENGTH > n ->
            found = found || (author[version] == o + 1); version--
        :: else -> break
        od;
        if
        :: found -> outcome[o] = ACCEPTED
        :: !found && n > base_version[o] -> outcome[o] = CONFLICT
        :: !found && n == base_version[o] && attempts[o] < 2 -> attempts[o]++;
            writes_in_flight[o]++; awaiting_reply[o] = true
        :: !found && n == base_version[o] && attempts[o] == 2 -> outcome[o] = UNKNOWN
        fi
    /* The store does not answer the read. */
    :: reading[o] -> reading[o] = false; outcome[o] = UNKNOWN
    fi;
    assert(outcome[o] != ACCEPTED || acceptances[o] == 1);
    assert(outcome[o] != CONFLICT || acceptances[o] == 0)
}

active proctype operators() {
    byte n, version;
    bool found;
    do
    :: atomic { operator_step(0); n = 0; version = 0; found = false }
    :: atomic { operator_step(1); n = 0; version = 0; found = false }
    :: atomic { !other_change_made && stored_version < 5 -> other_change_made = true;
        stored_version++; author[stored_version] = 9 }
    :: outcome[0] != NONE && outcome[1] != NONE &&
        writes_in_flight[0] + writes_in_flight[1] == 0 -> break
    od
}
#endif

#ifdef CURRENCY
#define WITNESSES 3
#define F 1 /* ticks for which a token is valid */
#define EXPIRED 2 /* F + 1: age of a token that is expired or missing */
#define NEWEST 2

byte stored_version = 1;
/* per witness: known version; witnesses asked since its restart, as bits */
byte witness_version[WITNESSES] = 1, learned_from[WITNESSES];
bool ready[WITNESSES] = true;
byte restarts;
byte host_version = 1; /* version of the host; 0 after a restart */
bool just_read; /* the host has read the store in this tick; only for STORE_SUFFICES */
/* per witness: token held by the host */
byte token_version[WITNESSES], token_age[WITNESSES] = EXPIRED;
/* token in flight; its age counts from the request */
byte pending_version, pending_witness, pending_age = EXPIRED;
/* per version: ticks since a majority of witnesses knew it; 255: none did */
byte majority_age[NEWEST + 1] = 255;

/* Starts counting for each version that a majority of the witnesses now knows. */
inline note_majority() {
    n = 2;
    do
    :: n <= NEWEST ->
        if
        :: majority_age[n] == 255 && (witness_version[0] >= n) + (witness_version[1] >= n) +
            (witness_version[2] >= n) >= 2 -> majority_age[n] = 0
        :: else
        fi;
        n++
    :: else -> break
    od
}

inline witness_step(w, o) {
    if
    /* Learns a newer version from the store, a push or a heartbeat. */
    :: witness_version[w] < stored_version -> select(n : witness_version[w] + 1 .. stored_version);
        witness_version[w] = n; note_majority()
    :: restarts < 2 -> restarts++; witness_version[w] = 0; learned_from[w] = 0;
#ifndef UNLEARNED_WITNESS
        ready[w] = false
#endif
    /* After a restart the witness asks another one, and is ready after asking both. */
#ifdef LEARNS_FROM_UNLEARNED
    :: !ready[w] ->
#else
    :: !ready[w] && ready[o] ->
#endif
        witness_version[w] = (witness_version[o] > witness_version[w] -> witness_version[o] :
            witness_version[w]);
        learned_from[w] = learned_from[w] | (1 << o);
        ready[w] = ((7 - (1 << w)) == learned_from[w]);
        note_majority()
    /* The host asks for a token. */
    :: ready[w] && pending_age == EXPIRED -> pending_witness = w;
        pending_version = witness_version[w]; pending_age = 0
    fi
}

/* Sets count to the number of valid tokens, or to 9 or more if one names a newer version. */
inline count_valid_tokens() {
    n = 0;
    count = 0;
    do
    :: n < WITNESSES && token_age[n] <= F ->
#ifdef VERSION_IGNORED
        count++;
#else
        count = (token_version[n] > host_version -> 9 : count + 1);
#endif
        n++
    :: n < WITNESSES && token_age[n] > F -> n++
    :: n == WITNESSES -> break
    od
}

#ifdef ONE_TOKEN
#define HAS_MAJORITY (count >= 1 && count < 9)
#else
#define HAS_MAJORITY (count >= 2 && count < 9)
#endif

/* The host admits a request if it is current. */
inline admit() {
    count_valid_tokens();
    if
#ifdef STORE_SUFFICES
    :: host_version > 0 && (HAS_MAJORITY || just_read) ->
#else
    :: host_version > 0 && HAS_MAJORITY ->
#endif
        assert(!(host_version < 2 && majority_age[2] != 255 && majority_age[2] > F))
    :: else
    fi
}

inline tick() {
    n = 0;
    do
    :: n < WITNESSES -> token_age[n] = (token_age[n] < EXPIRED -> token_age[n] + 1 : EXPIRED);
        token_version[n] = (token_age[n] < EXPIRED -> token_version[n] : 0);
        n++
    :: else -> break
    od;
    pending_age = (pending_age < EXPIRED -> pending_age + 1 : EXPIRED);
    pending_version = (pending_age < EXPIRED -> pending_version : 0);
    pending_witness = (pending_age < EXPIRED -> pending_witness : 0);
    n = 2;
    do
    :: n <= NEWEST ->
        majority_age[n] = (majority_age[n] <= F -> majority_age[n] + 1 : majority_age[n]); n++
    :: else -> break
    od;
    just_read = false
}

active proctype fleet() {
    byte n, count;
end:
    do
    :: atomic { stored_version < NEWEST -> stored_version++ }
    :: atomic { if :: witness_step(0, 1) :: witness_step(0, 2) fi; n = 0 }
    :: atomic { if :: witness_step(1, 0) :: witness_step(1, 2) fi; n = 0 }
    :: atomic { if :: witness_step(2, 0) :: witness_step(2, 1) fi; n = 0 }
    /* The token arrives; the younger of it and the one held is kept. */
    :: atomic { pending_age <= F ->
#ifdef AGE_FROM_RECEIPT
        pending_age = 0;
#endif
        if
        :: pending_age < token_age[pending_witness] ->
            token_version[pending_witness] = pending_version;
            token_age[pending_witness] = pending_age
        :: else
        fi;
        pending_version = 0; pending_witness = 0; pending_age = EXPIRED }
    /* The token is lost. */
    :: atomic { pending_age <= F -> pending_version = 0; pending_witness = 0;
        pending_age = EXPIRED }
    /* The host reads the store or gets a push; either may be stale. */
    :: atomic {
        select(n : 1 .. stored_version);
        if
#ifdef TAKES_LOWER
        :: n != host_version ->
#else
        :: n > host_version ->
#endif
            assert(n > host_version); host_version = n;
#ifdef STORE_SUFFICES
            just_read = true
#endif
        :: n <= host_version
        fi;
        n = 0 }
    /* The host restarts. */
    :: atomic { host_version > 0 -> host_version = 0; pending_age = EXPIRED; pending_version = 0;
        pending_witness = 0;
        token_age[0] = EXPIRED; token_age[1] = EXPIRED; token_age[2] = EXPIRED;
        token_version[0] = 0; token_version[1] = 0; token_version[2] = 0 }
    :: atomic { admit(); n = 0; count = 0 }
    :: atomic { tick(); n = 0 }
    od
}
#endif
