/*
 * An entry host and an upstream that leave.
 * Models docs/design.md sections 4 (Leaving) and 8 (src/libs/control/entrylist.h,
 * src/libs/dispatch/upstreamdispatcher.h).
 *
 * run: entry -DENTRY
 *   The leaving host, another host that serves the list of entry hosts, and one caller that
 *   caches the list. Ticks: the other host learns within F = 2 that the host leaves, the list is
 *   valid for V = 2, and a list or a request is in flight for at most D = 1. Properties: no
 *   request reaches the host after its process has ended, and none runs at that moment; no
 *   request is sent later than F + V + D after the host began to leave.
 * run: searcher -DSEARCHER
 *   The upstream, the host that holds it, and a successor that takes over at any time. Ticks:
 *   the holder polls the upstream's state every P = 1, and a call is in flight for at most
 *   D = 1. Replies may be lost, so a poll may yield no report. Property: no call is started
 *   later than S = 2 after the upstream began to leave.
 *
 * mutant: NO_TRANSIT_TIME entry    the host ends after F + V; an earlier rule left out D
 * mutant: ENDS_AT_ONCE entry       the host ends as soon as it is idle
 * mutant: ENDS_BUSY entry          the host ends although a request is in progress
 * mutant: LATE_NEWS entry          no bound on when the other host learns that the host leaves
 * mutant: VALID_FROM_RECEIPT entry the caller counts the validity from the receipt of the list
 * mutant: TAKEOVER_UNKNOWN searcher a successor calls before it knows the upstream's state
 * mutant: STALE_STATE searcher     calls go on although the last report is old
 * mutant: IGNORES_REPORT searcher  a reported `leaving` does not stop new calls
 */

#ifdef ENTRY
#define F 2
#define V 2
#define D 1
#ifdef NO_TRANSIT_TIME
#define MIN_LEAVE_TICKS (F + V)
#else
#define MIN_LEAVE_TICKS (F + V + D)
#endif
#define NOT_SENT 9

bool leaving, ended, informed; /* informed: the other host no longer lists the leaving host */
byte leave_age; /* ticks since the host began to leave */
/* list in flight; it names the leaving host; the caller has such a list */
bool list_requested, list_names_host, caller_has_list;
byte list_request_age; /* ticks since the caller requested the list that it waits for or has */
byte request_age = NOT_SENT; /* ticks since the request was sent */
byte list_receipt_age; /* ticks since the list arrived; only for VALID_FROM_RECEIPT */
bool request_running; /* at the leaving host */

#ifdef VALID_FROM_RECEIPT
#define list_age list_receipt_age
#else
#define list_age list_request_age
#endif

active proctype fleet() {
end:
    do
    :: atomic { !leaving -> leaving = true }
    :: atomic { leaving && !informed -> informed = true }
    /* The caller requests the list; the other host lists the leaving one until it is informed. */
    :: atomic { !list_requested && !caller_has_list -> list_requested = true; list_request_age = 0;
        list_names_host = !informed }
    :: atomic { list_requested -> list_requested = false; caller_has_list = list_names_host;
        list_receipt_age = 0; list_request_age = (caller_has_list -> list_request_age : 0) }
    :: atomic { caller_has_list && (list_age > V) -> caller_has_list = false; list_request_age = 0;
        list_receipt_age = 0 }
    :: atomic { caller_has_list && list_age <= V && request_age == NOT_SENT -> request_age = 0;
        assert(!leaving || leave_age <= F + V + D) }
    :: atomic { request_age != NOT_SENT && !request_running -> assert(!ended);
        request_running = true; request_age = NOT_SENT }
    :: atomic { request_running -> assert(!ended); request_running = false }
    :: atomic { leaving && !ended &&
#ifndef ENDS_AT_ONCE
        leave_age > MIN_LEAVE_TICKS &&
#endif
#ifndef ENDS_BUSY
        !request_running &&
#endif
        true -> ended = true; assert(!request_running) }
    /* Time passes unless a bound on a message or on the information would be exceeded. */
    :: atomic { !(list_requested && list_request_age >= D) &&
        !(request_age != NOT_SENT && request_age >= D) &&
#ifndef LATE_NEWS
        !(leaving && !informed && leave_age >= F) &&
#endif
        true ->
        leave_age = (leaving && leave_age < F + V + D + 2 -> leave_age + 1 : leave_age);
        list_request_age = ((list_requested || caller_has_list) && list_request_age <= V + D ->
            list_request_age + 1 : list_request_age);
        list_receipt_age = (caller_has_list && list_receipt_age <= V ->
            list_receipt_age + 1 : list_receipt_age);
        request_age = (request_age != NOT_SENT -> request_age + 1 : request_age) }
    od
}
#endif

#ifdef SEARCHER
#define S 2
#define MAX_REPORT_AGE 2 /* greatest age of a report that still allows a call */
#define UNKNOWN 9

bool leaving;
byte leave_age; /* ticks since the upstream began to leave */
byte current_holder; /* 0, then 1: the successor */
bool told_leaving; /* a report told the holder `leaving` */
byte report_age = 0; /* age of the holder's newest report, counted from its poll */
bool poll_in_flight, poll_finds_leaving; /* a poll is in flight; it will report `leaving` */
byte poll_age;
bool call_started;

active proctype fleet() {
end:
    do
    :: atomic { !leaving -> leaving = true }
    /* The successor takes over without any report; replies to the former holder's poll do not
       reach it. */
    :: atomic { current_holder == 0 -> current_holder = 1; told_leaving = false;
        report_age = UNKNOWN; poll_in_flight = false; poll_age = 0; poll_finds_leaving = false }
    :: atomic { !poll_in_flight -> poll_in_flight = true; poll_age = 0;
        poll_finds_leaving = leaving }
    /* A report arrives; its age counts from the poll. */
    :: atomic { poll_in_flight -> poll_in_flight = false;
        told_leaving = told_leaving || poll_finds_leaving;
        report_age = (poll_age < report_age -> poll_age : report_age);
        poll_age = 0; poll_finds_leaving = false }
    /* The poll or its reply is lost. */
    :: atomic { poll_in_flight -> poll_in_flight = false; poll_age = 0; poll_finds_leaving = false }
    :: atomic {
#ifndef IGNORES_REPORT
        !told_leaving &&
#endif
#ifdef TAKEOVER_UNKNOWN
        (report_age <= MAX_REPORT_AGE || report_age == UNKNOWN) ->
#else
#ifdef STALE_STATE
        report_age != UNKNOWN ->
#else
        report_age <= MAX_REPORT_AGE ->
#endif
#endif
        assert(!(leaving && leave_age > S)); call_started = true }
    :: atomic { call_started -> call_started = false }
    :: atomic { leave_age <= S + 1 ->
        leave_age = (leaving && leave_age <= S -> leave_age + 1 : leave_age);
        report_age = (report_age < MAX_REPORT_AGE + 1 -> report_age + 1 : report_age);
        poll_age = (poll_in_flight && poll_age <= MAX_REPORT_AGE -> poll_age + 1 : poll_age) }
    od
}
#endif
