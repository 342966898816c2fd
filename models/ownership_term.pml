/* The lease term of a server's holder: renewal by the holder's own clock, takeover through the table.
 *
 * Each daemon has one renewal row; the one server has one ownership row. Time passes in ticks for all daemons, while
 * any daemon may pause and any message may be delayed or lost (a partition, an unreachable table, a reply lost after
 * the write). A daemon reads its row back to settle an attempt whose reply was lost; the model treats this as the same
 * step as the reply. Steps that write the table are marked T. Names are those of include/radishflow/Terms/term_lease.h
 * and lib/Terms/takeover.cpp.
 *
 * Checked: the terms of two holders are never valid at the same time.
 *
 * Each rule can be switched off (-D<RULE>=0), and the check must then fail; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef TERM
#define TERM 2 /* ticks */
#endif
#ifndef OBSERVE_TICKS
#define OBSERVE_TICKS 3 /* ticks that a row must stay unchanged before a takeover; must exceed TERM */
#endif
#ifndef TERM_FROM_SENDING /* The term counts from before the renewal was sent, not from its reply. */
#define TERM_FROM_SENDING 1
#endif
#ifndef MARK_FORMER_HOLDER /* A takeover is conditional on the former holder's renewal row and marks it as lost. */
#define MARK_FORMER_HOLDER 1
#endif
#ifndef RENEW_CONDITIONALLY /* A renewal is conditional on the row being unchanged since its daemon wrote it. */
#define RENEW_CONDITIONALLY 1
#endif

#define NO_OWNER DAEMONS
#define IDLE 0
#define IN_FLIGHT 1
#define DONE 2 /* took effect; its reply is in flight or was lost */

/* The table. */
byte owner = NO_OWNER;
bool isLive[DAEMONS]; /* the renewal row of the current incarnation is not marked as lost */
byte rowAge[DAEMONS]; /* ticks since it was written; upper bound of what any daemon can have observed */
bool takeoverIsValid[DAEMONS]; /* the conditions of the takeover in flight still hold */

/* Each daemon. */
byte renewal[DAEMONS];
byte renewalAge[DAEMONS]; /* ticks since it was sent */
byte termLeft[DAEMONS]; /* ticks on its own clock */
bool owns[DAEMONS]; /* by its own copy of the table */
bool takeoverInFlight[DAEMONS]; /* a claim or takeover is in flight */

hidden byte i;
hidden byte holders;

#define IS_TERM_VALID(d) (termLeft[d] > 0)

/* A write to a daemon's renewal row invalidates the takeovers that are conditional on it. */
inline recordRenewalWrite(d) {
  rowAge[d] = 0;
  takeoverIsValid[d] = false;
  i = 0;
  do
  :: i < DAEMONS -> takeoverIsValid[i] = takeoverIsValid[i] && (owner != d || !MARK_FORMER_HOLDER); i++
  :: else -> break
  od;
  i = 0
}

inline assertSingleHolder() {
  i = 0;
  holders = 0;
  do
  :: i < DAEMONS -> holders = holders + (owns[i] && IS_TERM_VALID(i)); i++
  :: else -> break
  od;
  assert(holders <= 1)
}

proctype daemon_process(byte d) {
  do
  :: d_step { renewal[d] == IDLE -> renewal[d] = IN_FLIGHT; renewalAge[d] = 0 }
  /* T: the renewal takes effect. */
  :: d_step { renewal[d] == IN_FLIGHT && (isLive[d] || !RENEW_CONDITIONALLY) ->
       renewal[d] = DONE; isLive[d] = true; recordRenewalWrite(d) }
  /* The reply arrives, or the row is read back. */
  :: d_step { renewal[d] == DONE ->
       renewal[d] = IDLE;
       if
       :: !TERM_FROM_SENDING -> termLeft[d] = TERM
       :: TERM_FROM_SENDING && renewalAge[d] < TERM -> termLeft[d] = TERM - renewalAge[d]
       :: else
       fi;
       renewalAge[d] = 0;
       assertSingleHolder() }
  /* The request is lost, or the attempt is abandoned because the row read back shows that it had no effect. */
  :: d_step { renewal[d] == IN_FLIGHT -> renewal[d] = IDLE; renewalAge[d] = 0 }
  /* T: the row is marked as lost; the daemon registers a new incarnation. */
  :: d_step { !isLive[d] && renewal[d] != DONE ->
       renewal[d] = IDLE; renewalAge[d] = 0; termLeft[d] = 0; owns[d] = false; takeoverInFlight[d] = false;
       isLive[d] = true; recordRenewalWrite(d) }
  /* Sends a claim or takeover, conditional on the rows as read. */
  :: d_step { IS_TERM_VALID(d) && !takeoverInFlight[d] && owner != d && isLive[d] &&
       (owner == NO_OWNER || !isLive[owner] || rowAge[owner] >= OBSERVE_TICKS) ->
       takeoverInFlight[d] = true; takeoverIsValid[d] = true }
  /* T: the takeover takes effect, after any delay. */
  :: d_step { takeoverInFlight[d] && takeoverIsValid[d] ->
       takeoverInFlight[d] = false;
       if
       :: owner != NO_OWNER && MARK_FORMER_HOLDER -> isLive[owner] = false; recordRenewalWrite(owner)
       :: else
       fi;
       owner = d;
       i = 0;
       do
       :: i < DAEMONS -> takeoverIsValid[i] = false; i++
       :: else -> break
       od;
       i = 0 }
  :: d_step { takeoverInFlight[d] -> takeoverInFlight[d] = false; takeoverIsValid[d] = false }
  /* The reply to the takeover arrives, or a poll reads the row. */
  :: d_step { owner == d && isLive[d] && !owns[d] -> owns[d] = true; assertSingleHolder() }
  od
}

proctype advance_time() {
  byte d;
  do
  :: d_step {
       d = 0;
       do
       :: d < DAEMONS ->
          termLeft[d] = (termLeft[d] > 0 -> termLeft[d] - 1 : 0);
          rowAge[d] = (rowAge[d] < OBSERVE_TICKS -> rowAge[d] + 1 : OBSERVE_TICKS);
          renewalAge[d] = (renewal[d] != IDLE && renewalAge[d] < TERM -> renewalAge[d] + 1 : renewalAge[d]);
          d++
       :: else -> break
       od;
       d = 0 }
  od
}

init {
  atomic {
    byte d = 0;
    do
    :: d < DAEMONS -> isLive[d] = true; run daemon_process(d); d++
    :: else -> break
    od;
    run advance_time()
  }
}
