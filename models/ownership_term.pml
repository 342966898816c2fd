/* The term of a server's holder: renewal on the holder's own clock, takeover through the table.
 *
 * Each daemon has one renewal row; one server has one owner's row. Time passes in ticks for all, while any
 * daemon may rest (a pause) and any message may wait or be lost (a cut, a dark table, a reply lost after the
 * write). A daemon reads its row back to settle an attempt whose reply was lost, which here is the same step as
 * the reply itself. Names are those of term_holder.h and takeover.cpp.
 *
 * Checked: never do the terms of two holders run at once. Each rule can be switched off (-D<RULE>=0) and must
 * then be found missing; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef TERM
#define TERM 2 /* ticks */
#endif
#ifndef OBSERVE
#define OBSERVE 3 /* ticks; must exceed TERM */
#endif
#ifndef TERM_FROM_SENDING /* The term counts from before the renewal was sent, not from its reply. */
#define TERM_FROM_SENDING 1
#endif
#ifndef MARK_FORMER_HOLDER /* A takeover depends on the former holder's renewal row and marks it. */
#define MARK_FORMER_HOLDER 1
#endif
#ifndef RENEW_CONDITIONALLY /* A renewal depends on the row being as its daemon left it. */
#define RENEW_CONDITIONALLY 1
#endif

#define NOBODY DAEMONS
#define IDLE 0
#define IN_FLIGHT 1
#define DONE 2 /* took effect; its reply is still to come, or was lost */

/* The table. */
byte owner = NOBODY;
bool isLive[DAEMONS];      /* the renewal row of the present incarnation */
byte rowAge[DAEMONS];      /* ticks since it was written; the most that anyone can have observed */
bool takeoverHolds[DAEMONS]; /* the conditions of the takeover in flight */

/* Each daemon. */
byte renewal[DAEMONS];
byte renewalAge[DAEMONS];  /* ticks since it was sent */
byte termLeft[DAEMONS];    /* ticks on its own clock */
bool owns[DAEMONS];        /* as far as it knows */
bool takeover[DAEMONS];    /* in flight */

hidden byte i;
hidden byte holders;

#define TERM_RUNS(d) (termLeft[d] > 0)

/* A write to a daemon's renewal row breaks the conditions of takeovers that depend on it. */
inline touchRenewal(d) {
  rowAge[d] = 0;
  takeoverHolds[d] = false;
  i = 0;
  do
  :: i < DAEMONS -> takeoverHolds[i] = takeoverHolds[i] && (owner != d || !MARK_FORMER_HOLDER); i++
  :: else -> break
  od;
  i = 0
}

inline judge() {
  i = 0;
  holders = 0;
  do
  :: i < DAEMONS -> holders = holders + (owns[i] && TERM_RUNS(i)); i++
  :: else -> break
  od;
  assert(holders <= 1)
}

proctype daemon_process(byte d) {
  do
  :: d_step { renewal[d] == IDLE -> renewal[d] = IN_FLIGHT; renewalAge[d] = 0 }
  /* T: the renewal takes effect. */
  :: d_step { renewal[d] == IN_FLIGHT && (isLive[d] || !RENEW_CONDITIONALLY) ->
       renewal[d] = DONE; isLive[d] = true; touchRenewal(d) }
  /* The reply, or the row read back. */
  :: d_step { renewal[d] == DONE ->
       renewal[d] = IDLE;
       if
       :: !TERM_FROM_SENDING -> termLeft[d] = TERM
       :: TERM_FROM_SENDING && renewalAge[d] < TERM -> termLeft[d] = TERM - renewalAge[d]
       :: else
       fi;
       renewalAge[d] = 0;
       judge() }
  /* The request is lost, or the attempt is given up because the reading shows that it had no effect. */
  :: d_step { renewal[d] == IN_FLIGHT -> renewal[d] = IDLE; renewalAge[d] = 0 }
  /* T: the row shows that the terms were lost; the daemon registers a new incarnation. */
  :: d_step { !isLive[d] && renewal[d] != DONE ->
       renewal[d] = IDLE; renewalAge[d] = 0; termLeft[d] = 0; owns[d] = false; takeover[d] = false;
       isLive[d] = true; touchRenewal(d) }
  /* Sends a claim or takeover, on what it has read of the rows. */
  :: d_step { TERM_RUNS(d) && !takeover[d] && owner != d && isLive[d] &&
       (owner == NOBODY || !isLive[owner] || rowAge[owner] >= OBSERVE) ->
       takeover[d] = true; takeoverHolds[d] = true }
  /* T: the takeover takes effect, however late. */
  :: d_step { takeover[d] && takeoverHolds[d] ->
       takeover[d] = false;
       if
       :: owner != NOBODY && MARK_FORMER_HOLDER -> isLive[owner] = false; touchRenewal(owner)
       :: else
       fi;
       owner = d;
       i = 0;
       do
       :: i < DAEMONS -> takeoverHolds[i] = false; i++
       :: else -> break
       od;
       i = 0 }
  :: d_step { takeover[d] -> takeover[d] = false; takeoverHolds[d] = false }
  /* The reply to the takeover, or a poll that shows the row. */
  :: d_step { owner == d && isLive[d] && !owns[d] -> owns[d] = true; judge() }
  od
}

proctype time_line() {
  byte d;
  do
  :: d_step {
       d = 0;
       do
       :: d < DAEMONS ->
          termLeft[d] = (termLeft[d] > 0 -> termLeft[d] - 1 : 0);
          rowAge[d] = (rowAge[d] < OBSERVE -> rowAge[d] + 1 : OBSERVE);
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
    run time_line()
  }
}
