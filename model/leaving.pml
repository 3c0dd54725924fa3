/*
 * A leaving entry host and a leaving searcher.
 * Models docs/design.md sections 4 (Leaving) and 8 (src/libs/control/entrylist.h,
 * src/libs/dispatch/upstreamdispatcher.h).
 *
 * run: entry -DENTRY
 *   The leaving host, another host that serves the entry list, and one caller
 *   that caches the list. Ticks: news of the leaving host reaches the other host
 *   within F = 2, the list is valid for V = 2, a list or a request is under way
 *   for at most D = 1. Properties: no request reaches the host after its end,
 *   and none is in progress then; no request is sent later than F + V + D after
 *   the host began to leave.
 * run: searcher -DSEARCHER
 *   The searcher, its holder, and a successor that takes over at any time.
 *   Ticks: the state is polled every P = 1, and a call is under way for at most
 *   D = 1; replies may be lost, so a poll may find nothing. Property: no call is
 *   started later than S = 2 after the searcher began to leave.
 *
 * mutant: NO_TRANSIT_TIME entry    the host ends after F + V, the rule of the page's first form
 * mutant: ENDS_AT_ONCE entry       the host ends as soon as it is idle
 * mutant: ENDS_BUSY entry          the host ends although a request is in progress
 * mutant: LATE_NEWS entry          news of the leaving host has no bound
 * mutant: VALID_FROM_RECEIPT entry the caller counts the validity from receipt, not from its request
 * mutant: TAKEOVER_UNKNOWN searcher a successor calls before it knows the searcher's state
 * mutant: STALE_STATE searcher     calls go on although the last known state is old
 * mutant: IGNORES_REPORT searcher  a reported `leaving` does not stop new calls
 */

#ifdef ENTRY
#define F 2
#define V 2
#define D 1
#ifdef NO_TRANSIT_TIME
#define WAIT (F + V)
#else
#define WAIT (F + V + D)
#endif
#define END 9

bool leaving, gone, informed;   /* informed: the other host no longer names it */
byte age;                       /* ticks since the host began to leave */
bool asked, named, has;         /* list under way; it names the host; the caller holds it */
byte ask_age;                   /* ticks since the caller asked for the list it waits for or holds */
byte sent_age = END;            /* ticks since the request was sent */
byte held_age;                  /* only for VALID_FROM_RECEIPT */
bool busy;

#ifdef VALID_FROM_RECEIPT
#define list_age held_age
#else
#define list_age ask_age
#endif

active proctype fleet() {
end:
    do
    :: atomic { !leaving -> leaving = true }
    :: atomic { leaving && !informed -> informed = true }
    /* The caller asks any host; the other one names the leaving host until it hears of it. */
    :: atomic { !asked && !has -> asked = true; ask_age = 0; named = !informed }
    :: atomic { asked -> asked = false; has = named; held_age = 0; ask_age = (has -> ask_age : 0) }
    :: atomic { has && (list_age > V) -> has = false; ask_age = 0; held_age = 0 }
    :: atomic { has && list_age <= V && sent_age == END -> sent_age = 0;
        assert(!leaving || age <= F + V + D) }
    :: atomic { sent_age != END && !busy -> assert(!gone); busy = true; sent_age = END }
    :: atomic { busy -> assert(!gone); busy = false }
    :: atomic { leaving && !gone &&
#ifndef ENDS_AT_ONCE
        age > WAIT &&
#endif
#ifndef ENDS_BUSY
        !busy &&
#endif
        true -> gone = true; assert(!busy) }
    /* Time passes only as far as the bounds on messages and news allow. */
    :: atomic { !(asked && ask_age >= D) && !(sent_age != END && sent_age >= D) &&
#ifndef LATE_NEWS
        !(leaving && !informed && age >= F) &&
#endif
        true ->
        age = (leaving && age < F + V + D + 2 -> age + 1 : age);
        ask_age = ((asked || has) && ask_age <= V + D -> ask_age + 1 : ask_age);
        held_age = (has && held_age <= V -> held_age + 1 : held_age);
        sent_age = (sent_age != END -> sent_age + 1 : sent_age) }
    od
}
#endif

#ifdef SEARCHER
#define S 2
#define OLD 2  /* age from which a known state no longer allows a call */
#define UNKNOWN 9

bool leaving;
byte age;                       /* ticks since the searcher began to leave */
byte holder;                    /* 0, then 1: the successor */
bool heard;                     /* the holder was told `leaving` */
byte known = 0;                 /* age of the newest report that the holder has */
bool polling, report;           /* a poll under way, and what it will report */
byte poll_age;
bool called;

active proctype fleet() {
end:
    do
    :: atomic { !leaving -> leaving = true }
    /* The successor takes over knowing nothing; polls of the former holder are not its own. */
    :: atomic { holder == 0 -> holder = 1; heard = false; known = UNKNOWN; polling = false;
        poll_age = 0; report = false }
    :: atomic { !polling -> polling = true; poll_age = 0; report = leaving }
    /* A report arrives; its age counts from the poll. */
    :: atomic { polling -> polling = false; heard = heard || report;
        known = (poll_age < known -> poll_age : known); poll_age = 0; report = false }
    :: atomic { polling -> polling = false; poll_age = 0; report = false }
    :: atomic {
#ifndef IGNORES_REPORT
        !heard &&
#endif
#ifdef TAKEOVER_UNKNOWN
        (known <= OLD || known == UNKNOWN) ->
#else
#ifdef STALE_STATE
        known != UNKNOWN ->
#else
        known <= OLD ->
#endif
#endif
        assert(!(leaving && age > S)); called = true }
    :: atomic { called -> called = false }
    :: atomic { age <= S + 1 ->
        age = (leaving && age <= S -> age + 1 : age);
        known = (known < OLD + 1 -> known + 1 : known);
        poll_age = (polling && poll_age <= OLD -> poll_age + 1 : poll_age) }
    od
}
#endif
