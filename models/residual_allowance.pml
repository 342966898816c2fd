/* Division of one backend server's limit among the holders of its terms, without a quorum.
 *
 * The entities are terms, not daemons: a daemon that returns holds a new term. The model assumes what
 * ownership_term.pml checks, that a term is no longer valid when the table admits a successor. Pauses, partitions and
 * an unreachable table are runs in which the affected steps never occur; steps that write the table are marked T. The
 * server accepts every request, also under former terms. Names are those of lib/Terms/server_gate.cpp.
 *
 * Checked: the requests at the server never exceed LIMIT. After the limit is reduced to REDUCED_LIMIT (a reset to cold,
 * which loses the server's running requests), the requests admitted by holders that have noticed it never exceed
 * REDUCED_LIMIT.
 *
 * Each rule can be switched off (-D<RULE>=0), and the check must then fail; models/MODELS.txt lists all runs.
 */
#ifndef LIMIT
#define LIMIT 6
#endif
#ifndef REDUCED_LIMIT
#define REDUCED_LIMIT LIMIT /* The limit is not reduced unless set. */
#endif
#ifndef TERMS
#define TERMS 3 /* Allows two successive takeovers. */
#endif
#ifndef RELEASES
#define RELEASES 0 /* Number of times that a gate may close for a release. */
#endif
#define WINDOW 1

#ifndef RESERVE_WINDOW /* The share of a former holder includes requests that it has admitted but not yet sent. */
#define RESERVE_WINDOW 1
#endif
#ifndef WAIT_FOR_REPORT /* A successor waits for a load report newer than its takeover. */
#define WAIT_FOR_REPORT 1
#endif
#ifndef GRACE_NEEDS_SETTLED /* A holder that never settled has no grace share. */
#define GRACE_NEEDS_SETTLED 1
#endif
#ifndef REPORT_BY_ORIGIN /* A report must account for each former holder, not only for their sum. */
#define REPORT_BY_ORIGIN 1
#endif
#ifndef REJOIN_NEEDS_EMPTY_WINDOW /* A new incarnation requires that no request is admitted but unsent. */
#define REJOIN_NEEDS_EMPTY_WINDOW 1
#endif
#ifndef RELEASE_STATES_RUNNING /* A release states the number of requests that still run. */
#define RELEASE_STATES_RUNNING 1
#endif
#ifndef KEEP_CLOSED_IN_DOUBT /* The gate stays closed while it is unknown whether a release took effect. */
#define KEEP_CLOSED_IN_DOUBT 1
#endif
#ifndef GRACE_FROM_ROW /* The grace share is computed from the row, not from later reports. */
#define GRACE_FROM_ROW 1
#endif
#ifndef SETTLE_AGAIN /* A holder that notices a reduction of the limit must settle again. */
#define SETTLE_AGAIN 1
#endif

#define UNKNOWN 99
#define TERM_SLOTS (TERMS + 1) /* Terms count from 1. */

/* The ownership row in the table. */
byte currentTerm; /* term of the current holder */
bool released;
bool rowListsFormer[TERM_SLOTS]; /* former holders that the row lists */
byte statedRunning[TERM_SLOTS]; /* running requests that a release stated, or UNKNOWN */

/* State of the holder of each term. */
bool isTermValid[TERM_SLOTS];
bool isSettled[TERM_SLOTS];
bool isClosed[TERM_SLOTS];
byte closeCount;
bool releaseSent[TERM_SLOTS]; /* in flight, or its outcome is unknown */
byte releaseRunning[TERM_SLOTS];
bool isGraceOver[TERM_SLOTS]; /* the grace period has ended by the holder's clock */
bool isRetired[TERM_SLOTS]; /* registered a new incarnation; sends no requests under this term */
bool hasNoticedReduction[TERM_SLOTS]; /* the holder has noticed the reduction of the limit */
bool copyListsFormer[TERM_SLOTS * TERM_SLOTS]; /* former holders in the holder's copy of the row */
byte minReported[TERM_SLOTS * TERM_SLOTS]; /* lowest reported count of a former holder that sends no requests */
bool isReclaimed[TERM_SLOTS * TERM_SLOTS]; /* no running request was reported after the grace period */

/* The server. */
bool isLimitReduced;
byte outstanding[TERM_SLOTS];
byte window[TERM_SLOTS];
byte admittedAfterReduction[TERM_SLOTS]; /* outstanding requests admitted after the holder noticed the reduction */
bool windowIsAfterReduction[TERM_SLOTS];

/* Temporaries of deterministic steps; not part of the state. */
hidden byte i;
hidden byte remaining;
hidden byte unreserved;
hidden byte allowed;
hidden byte graceShares[TERM_SLOTS];
hidden byte reserve;
hidden byte sum;
hidden byte graceSum;
hidden byte reducedSum;
hidden byte isAccounted;

#define KNOWN_LIMIT(t) (hasNoticedReduction[t] -> REDUCED_LIMIT : LIMIT)
#define SENDS_NO_MORE(i) (isRetired[i] || statedRunning[i] != UNKNOWN)
#define COPY_LISTS_FORMER(t, i) copyListsFormer[(t) * TERM_SLOTS + (i)]
#define MIN_REPORTED(t, i) minReported[(t) * TERM_SLOTS + (i)]
#define IS_RECLAIMED(t, i) isReclaimed[(t) * TERM_SLOTS + (i)]

inline subtract(from, amount) {
  from = (from > amount -> from - amount : 0)
}

/* divideLimit(): the share that each former holder may use, and the remainder, both computed from the row. */
inline divideLimit(t) {
  remaining = KNOWN_LIMIT(t);
  i = 1;
  do
  :: i < t ->
     if
     :: COPY_LISTS_FORMER(t, i) && statedRunning[i] != UNKNOWN ->
        graceShares[i] = statedRunning[i];
        subtract(remaining, graceShares[i])
     :: COPY_LISTS_FORMER(t, i) && statedRunning[i] == UNKNOWN ->
        graceShares[i] = remaining / 2;
        reserve = graceShares[i] + WINDOW * RESERVE_WINDOW;
        subtract(remaining, reserve)
     :: else -> graceShares[i] = 0
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* server_gate::allowed(); sets graceShares[] and remaining as divideLimit() does. */
inline computeAllowed(t) {
  divideLimit(t);
  unreserved = KNOWN_LIMIT(t);
  i = 1;
  do
  :: i < t ->
     if
     :: !COPY_LISTS_FORMER(t, i) -> reserve = 0
     :: COPY_LISTS_FORMER(t, i) && !SENDS_NO_MORE(i) && IS_RECLAIMED(t, i) -> reserve = WINDOW * RESERVE_WINDOW
     :: else ->
        reserve = graceShares[i] + (statedRunning[i] == UNKNOWN -> WINDOW * RESERVE_WINDOW : 0);
        if
        :: SENDS_NO_MORE(i) && MIN_REPORTED(t, i) < reserve -> reserve = MIN_REPORTED(t, i)
        :: else
        fi
     fi;
     subtract(unreserved, reserve);
     i++
  :: else -> break
  od;
  allowed = unreserved;
  if
  :: !isTermValid[t] && GRACE_FROM_ROW && remaining / 2 < unreserved -> allowed = remaining / 2
  :: !isTermValid[t] && !GRACE_FROM_ROW -> allowed = unreserved / 2
  :: else
  fi;
  if
  :: isClosed[t] || isRetired[t] || (!isTermValid[t] && isGraceOver[t]) -> allowed = 0
  :: !isSettled[t] && (isTermValid[t] || GRACE_NEEDS_SETTLED) -> allowed = 0
  :: else
  fi
}

/* Accepts a load report taken now: settles the holder, and lowers the reserve for former holders that send no requests
 * or whose grace period has ended. */
inline acceptReport(t) {
  divideLimit(t);
  isAccounted = true;
  sum = 0;
  graceSum = 0;
  i = 1;
  do
  :: i < t ->
     if
     :: COPY_LISTS_FORMER(t, i) ->
        sum = sum + outstanding[i];
        graceSum = graceSum + graceShares[i];
        isAccounted = isAccounted && (statedRunning[i] != UNKNOWN || outstanding[i] <= graceShares[i]);
        if
        :: SENDS_NO_MORE(i) && outstanding[i] < MIN_REPORTED(t, i) -> MIN_REPORTED(t, i) = outstanding[i]
        :: !SENDS_NO_MORE(i) && isGraceOver[i] && outstanding[i] == 0 -> IS_RECLAIMED(t, i) = true
        :: else
        fi
     :: else
     fi;
     i++
  :: else -> break
  od;
  isSettled[t] = isSettled[t] || (REPORT_BY_ORIGIN -> isAccounted : sum <= graceSum)
}

/* Removes former holders that send no requests and have none running from the row. */
inline removeObsoleteShares(t) {
  i = 1;
  do
  :: i < t ->
     if
     :: COPY_LISTS_FORMER(t, i) && SENDS_NO_MORE(i) && MIN_REPORTED(t, i) == 0 ->
        COPY_LISTS_FORMER(t, i) = false;
        rowListsFormer[i] = false
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

inline acquireTerm(t) {
  if
  :: t > 1 && !released -> rowListsFormer[t - 1] = true; statedRunning[t - 1] = UNKNOWN
  :: else
  fi;
  isSettled[t] = true;
  i = 1;
  do
  :: i < t ->
     COPY_LISTS_FORMER(t, i) = rowListsFormer[i];
     MIN_REPORTED(t, i) = UNKNOWN;
     IS_RECLAIMED(t, i) = false;
     isSettled[t] = isSettled[t] && (!rowListsFormer[i] || statedRunning[i] != UNKNOWN);
     i++
  :: else -> break
  od;
  isSettled[t] = isSettled[t] || !WAIT_FOR_REPORT;
  released = false;
  currentTerm = t;
  isTermValid[t] = true
}

/* Clears the holder's view, which is no longer used, to reduce the number of distinct states. */
inline clearView(t) {
  i = 1;
  do
  :: i < t -> COPY_LISTS_FORMER(t, i) = false; MIN_REPORTED(t, i) = 0; IS_RECLAIMED(t, i) = false; i++
  :: else -> break
  od;
  i = 0
}

inline assertLimits() {
  sum = 0;
  reducedSum = 0;
  i = 1;
  do
  :: i <= TERMS -> sum = sum + outstanding[i]; reducedSum = reducedSum + admittedAfterReduction[i]; i++
  :: else -> break
  od;
  assert(sum <= LIMIT);
  assert(reducedSum <= REDUCED_LIMIT)
}

proctype holder(byte t) {
  /* T: claim, or takeover when the former term has lapsed or was released. */
  d_step { currentTerm == t - 1 && (t == 1 || released || !isTermValid[t - 1]) -> acquireTerm(t) };
  do
  :: d_step { isTermValid[t] -> isTermValid[t] = false }
  /* T: the renewal finds the row unchanged. */
  :: d_step { !isTermValid[t] && currentTerm == t && !released -> isTermValid[t] = true; isGraceOver[t] = false }
  :: d_step { !isTermValid[t] && !isGraceOver[t] -> isGraceOver[t] = true }
  /* T: a successor holds the server; the daemon registers a new incarnation. */
  :: d_step { currentTerm > t && !isRetired[t] && (window[t] == 0 || !REJOIN_NEEDS_EMPTY_WINDOW) ->
       isRetired[t] = true; isSettled[t] = false; isGraceOver[t] = true;
       hasNoticedReduction[t] = isLimitReduced; clearView(t) }
  :: d_step { t > 1 && isTermValid[t] && currentTerm == t -> acceptReport(t) }
  /* T: the row is written. */
  :: d_step { t > 1 && isTermValid[t] && currentTerm == t && !released -> removeObsoleteShares(t) }
  /* Admission, and then sending the request; the daemon may be paused between them for any time. */
  :: d_step { window[t] < WINDOW && currentTerm >= t ->
       computeAllowed(t);
       if
       :: outstanding[t] + window[t] < allowed -> window[t]++; windowIsAfterReduction[t] = hasNoticedReduction[t]
       :: else
       fi }
  :: d_step { window[t] > 0 ->
       window[t]--; outstanding[t]++;
       admittedAfterReduction[t] = admittedAfterReduction[t] + windowIsAfterReduction[t];
       windowIsAfterReduction[t] = false; assertLimits() }
  :: d_step { outstanding[t] > admittedAfterReduction[t] -> outstanding[t]-- }
  :: d_step { admittedAfterReduction[t] > 0 -> outstanding[t]--; admittedAfterReduction[t]-- }
  :: d_step { isLimitReduced && !hasNoticedReduction[t] ->
       hasNoticedReduction[t] = true;
       isSettled[t] = isSettled[t] && (t == 1 || !SETTLE_AGAIN) }
#if RELEASES
  :: d_step { isTermValid[t] && currentTerm == t && !released && !isClosed[t] && closeCount < RELEASES ->
       isClosed[t] = true; closeCount++ }
  :: d_step { isClosed[t] && !releaseSent[t] && window[t] == 0 ->
       releaseSent[t] = true; releaseRunning[t] = (RELEASE_STATES_RUNNING -> outstanding[t] : 0) }
  /* T: the release takes effect, possibly late and with its reply lost. */
  :: d_step { releaseSent[t] && currentTerm == t && !released ->
       released = true; isTermValid[t] = false;
       rowListsFormer[t] = releaseRunning[t] > 0; statedRunning[t] = releaseRunning[t];
       releaseRunning[t] = 0; isSettled[t] = false; isGraceOver[t] = true; clearView(t) }
  :: d_step { isClosed[t] && !released && (!releaseSent[t] || !KEEP_CLOSED_IN_DOUBT) -> isClosed[t] = false }
#endif
  :: timeout -> break
  od
}

init {
  atomic {
    byte t = 1;
    do
    :: t <= TERMS -> statedRunning[t] = UNKNOWN; run holder(t); t++
    :: else -> break
    od
  }
#if REDUCED_LIMIT < LIMIT
  /* The server restarts, which resets it to cold and loses its running requests. */
  d_step { isLimitReduced = true; i = 1;
    do
    :: i <= TERMS -> outstanding[i] = 0; admittedAfterReduction[i] = 0; i++
    :: else -> break
    od;
    i = 0 }
#endif
}
