/*
 * Change of configuration: acceptance by the store and the currency rule.
 * Models docs/design.md section 5 (src/libs/operatorclient, src/libs/control,
 * src/libs/membership/membershipagent.h).
 *
 * run: acceptance -DACCEPTANCE
 *   Two racing operators, one further change, at most two writes per operator,
 *   each of which may be delayed, lost, or lose its reply; reads may be stale.
 *   Properties: each change is accepted at most once, each version has one
 *   winner, and an operator is told "accepted" or "conflict" only if that is so.
 * run: currency -DCURRENCY
 *   Three witnesses (majority 2), an old and a new version, F = 1 tick, one host that may
 *   be cut off at any time (messages are lost or delayed), stale reads, two
 *   restarts of witnesses and any number of the host. A relayed token is a token that
 *   is under way for longer. Ticks are clock steps; a token is valid up to age F.
 *   Properties: the host never replaces a version by a lower one, and admits
 *   nothing under an older version later than F after a majority of the
 *   witnesses knew the newer one.
 *
 * mutant: NO_CONDITION acceptance       the write ignores the version
 * mutant: NO_READBACK acceptance        a lost reply is reported as conflict
 * mutant: REJECT_IS_CONFLICT acceptance 412 to a repeated write is reported as conflict
 * mutant: SHORT_HISTORY acceptance      the object keeps one change id
 * mutant: ONE_TOKEN currency            one token is enough
 * mutant: VERSION_IGNORED currency      tokens that name a newer version are not looked at
 * mutant: AGE_FROM_RECEIPT currency     age counts from receipt; a relay drops the age
 * mutant: STORE_SUFFICES currency       a store read makes the host current
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
#define KEPT 1
#else
#define KEPT 3 /* stands for 16: more than the changes made meanwhile */
#endif

byte ver = 1;
byte winner[6]; /* 1 + operator that made the version */
byte base[2], sent[2], tries[2], told[2], wins[2], seen[2];
bool waits[2], reads[2];
bool other_done;

inline take_effect(o) {
    assert(told[o] != CONFLICT);
    ver++;
    assert(winner[ver] == 0);
    winner[ver] = o + 1;
    wins[o]++;
    assert(wins[o] <= 1)
}

inline operator_step(o) {
    if
    /* Reads the object, perhaps a stale copy, and writes its change. */
    :: base[o] == 0 -> select(n : 1 .. ver); base[o] = n; sent[o] = 1; tries[o] = 1; waits[o] = true
    /* The write reaches the store. */
    :: sent[o] > 0 ->
        sent[o]--;
        if
#ifdef NO_CONDITION
        :: ver < 5 ->
#else
        :: ver == base[o] ->
#endif
            take_effect(o);
            if
            :: waits[o] -> waits[o] = false; told[o] = ACCEPTED
            :: true /* the reply is lost */
            fi
        :: ver != base[o] ->
            if
#ifndef REJECT_IS_CONFLICT
            /* An earlier write of the same change may have been accepted. */
            :: waits[o] && tries[o] > 1 -> waits[o] = false; reads[o] = true; seen[o] = ver
            :: waits[o] && tries[o] == 1 -> waits[o] = false; told[o] = CONFLICT
#else
            :: waits[o] -> waits[o] = false; told[o] = CONFLICT
#endif
            :: true
            fi
        fi
    /* The write never arrives. */
    :: sent[o] > 0 -> sent[o]--
    /* No reply in time. */
#ifdef NO_READBACK
    :: waits[o] -> waits[o] = false; told[o] = CONFLICT
#else
    :: waits[o] -> waits[o] = false; reads[o] = true; seen[o] = base[o]
#endif
    /* Reads back; the copy may be stale, but not older than a version seen. */
    :: reads[o] ->
        reads[o] = false;
        select(n : seen[o] .. ver);
        found = false;
        k = n;
        do
        :: k > 1 && k + KEPT > n -> found = found || (winner[k] == o + 1); k--
        :: else -> break
        od;
        if
        :: found -> told[o] = ACCEPTED
        :: !found && n > base[o] -> told[o] = CONFLICT
        :: !found && n == base[o] && tries[o] < 2 -> tries[o]++; sent[o]++; waits[o] = true
        :: !found && n == base[o] && tries[o] == 2 -> told[o] = UNKNOWN
        fi
    /* The store does not answer the read. */
    :: reads[o] -> reads[o] = false; told[o] = UNKNOWN
    fi;
    assert(told[o] != ACCEPTED || wins[o] == 1);
    assert(told[o] != CONFLICT || wins[o] == 0)
}

active proctype fleet() {
    byte n, k;
    bool found;
    do
    :: atomic { operator_step(0); n = 0; k = 0; found = false }
    :: atomic { operator_step(1); n = 0; k = 0; found = false }
    :: atomic { !other_done && ver < 5 -> other_done = true; ver++; winner[ver] = 9 }
    :: told[0] != NONE && told[1] != NONE && sent[0] + sent[1] == 0 -> break
    od
}
#endif

#ifdef CURRENCY
#define W 3
#define F 1
#define OLD 2 /* F + 1: no token */
#define TOP 2

byte store = 1;
byte wv[W] = 1, learnt[W];  /* version known by a witness; whom it asked since its restart */
bool ready[W] = true;
byte restarts;
byte hv = 1;                /* version of the host; 0: restarted */
bool just_read; /* just_read: for STORE_SUFFICES */
byte tv[W], ta[W] = OLD;    /* tokens held by the host */
byte pv, pw, pa = OLD;      /* token under way; its age counts from the request */
byte since[TOP + 1] = 255;        /* ticks since a witness majority knew the version */

inline note_majority() {
    n = 2;
    do
    :: n <= TOP ->
        if
        :: since[n] == 255 && (wv[0] >= n) + (wv[1] >= n) + (wv[2] >= n) >= 2 -> since[n] = 0
        :: else
        fi;
        n++
    :: else -> break
    od
}

inline witness_step(w, o) {
    if
    /* Hears of a newer version through the store, a push or a heartbeat. */
    :: wv[w] < store -> select(n : wv[w] + 1 .. store); wv[w] = n; note_majority()
    :: restarts < 2 -> restarts++; wv[w] = 0; learnt[w] = 0;
#ifndef UNLEARNED_WITNESS
        ready[w] = false
#endif
    /* A restarted witness asks another one. */
#ifdef LEARNS_FROM_UNLEARNED
    :: !ready[w] ->
#else
    :: !ready[w] && ready[o] ->
#endif
        wv[w] = (wv[o] > wv[w] -> wv[o] : wv[w]);
        learnt[w] = learnt[w] | (1 << o);
        ready[w] = ((7 - (1 << w)) == learnt[w]);
        note_majority()
    /* The host asks for a token. */
    :: ready[w] && pa == OLD -> pw = w; pv = wv[w]; pa = 0
    fi
}

/* Counts valid tokens in k; 9 or more: one names a newer version. */
inline valid_tokens() {
    n = 0;
    k = 0;
    do
    :: n < W && ta[n] <= F ->
#ifdef VERSION_IGNORED
        k++;
#else
        k = (tv[n] > hv -> 9 : k + 1);
#endif
        n++
    :: n < W && ta[n] > F -> n++
    :: n == W -> break
    od
}

#ifdef ONE_TOKEN
#define ENOUGH (k >= 1 && k < 9)
#else
#define ENOUGH (k >= 2 && k < 9)
#endif

inline admit() {
    valid_tokens();
    if
#ifdef STORE_SUFFICES
    :: hv > 0 && (ENOUGH || just_read) ->
#else
    :: hv > 0 && ENOUGH ->
#endif
        assert(!(hv < 2 && since[2] != 255 && since[2] > F))
    :: else
    fi
}

inline tick() {
    n = 0;
    do
    :: n < W -> ta[n] = (ta[n] < OLD -> ta[n] + 1 : OLD);
        tv[n] = (ta[n] < OLD -> tv[n] : 0);
        n++
    :: else -> break
    od;
    pa = (pa < OLD -> pa + 1 : OLD);
    pv = (pa < OLD -> pv : 0);
    pw = (pa < OLD -> pw : 0);
    n = 2;
    do
    :: n <= TOP -> since[n] = (since[n] <= F -> since[n] + 1 : since[n]); n++
    :: else -> break
    od;
    just_read = false
}

active proctype fleet() {
    byte n, k;
end:
    do
    :: atomic { store < TOP -> store++ }
    :: atomic { if :: witness_step(0, 1) :: witness_step(0, 2) fi; n = 0 }
    :: atomic { if :: witness_step(1, 0) :: witness_step(1, 2) fi; n = 0 }
    :: atomic { if :: witness_step(2, 0) :: witness_step(2, 1) fi; n = 0 }
    /* The token arrives; the younger one is kept. */
    :: atomic { pa <= F ->
#ifdef AGE_FROM_RECEIPT
        pa = 0;
#endif
        if
        :: pa < ta[pw] -> tv[pw] = pv; ta[pw] = pa
        :: else
        fi;
        pv = 0; pw = 0; pa = OLD }
    :: atomic { pa <= F -> pv = 0; pw = 0; pa = OLD }
    /* A read of the store or a push, perhaps stale. */
    :: atomic {
        select(n : 1 .. store);
        if
#ifdef TAKES_LOWER
        :: n != hv ->
#else
        :: n > hv ->
#endif
            assert(n > hv); hv = n;
#ifdef STORE_SUFFICES
            just_read = true
#endif
        :: n <= hv
        fi;
        n = 0 }
    :: atomic { hv > 0 -> hv = 0; pa = OLD; pv = 0; pw = 0;
        ta[0] = OLD; ta[1] = OLD; ta[2] = OLD; tv[0] = 0; tv[1] = 0; tv[2] = 0 }
    :: atomic { admit(); n = 0; k = 0 }
    :: atomic { tick(); n = 0 }
    od
}
#endif
