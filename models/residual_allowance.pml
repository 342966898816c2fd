/* How the limit of one backend server is divided among the holders of its terms, without a quorum.
 *
 * Terms, not daemons, are the entities here: a daemon that comes back holds a new term. That a term no longer
 * runs when the table lets a successor in is taken from ownership_term.pml. A pause, a cut and a dark table are
 * runs in which the steps concerned never come; the table's own steps are marked T. The server accepts
 * everything, also under old terms. Names are those of lib/Terms/server_gate.cpp.
 *
 * Checked: the work at the server never exceeds LIMIT; and once the limit has fallen to LOW (a cold turn, which
 * loses the server's work), what was admitted by holders that have noticed never exceeds LOW.
 *
 * Each rule can be switched off (-D<RULE>=0) and must then be found missing; models/MODELS.txt lists all runs.
 */
#ifndef LIMIT
#define LIMIT 6
#endif
#ifndef LOW
#define LOW LIMIT /* No fall unless set. */
#endif
#ifndef TERMS
#define TERMS 3 /* Two takeovers in a row. */
#endif
#ifndef RELEASES
#define RELEASES 0 /* How often a gate may close for a release. */
#endif
#define WINDOW 1

#ifndef RESERVE_WINDOW /* A former holder's checked but unwritten requests are reserved. */
#define RESERVE_WINDOW 1
#endif
#ifndef WAIT_FOR_REPORT /* A successor waits for a load report newer than its takeover. */
#define WAIT_FOR_REPORT 1
#endif
#ifndef DARK_NEEDS_SETTLED /* A holder that never settled has no dark share. */
#define DARK_NEEDS_SETTLED 1
#endif
#ifndef REPORT_BY_ORIGIN /* The report accounts for each former holder, not for their sum. */
#define REPORT_BY_ORIGIN 1
#endif
#ifndef RETURN_NEEDS_EMPTY_WINDOW /* A daemon registers anew only when it has nothing checked and unwritten. */
#define RETURN_NEEDS_EMPTY_WINDOW 1
#endif
#ifndef RELEASE_STATES_RUNNING /* A release says how many requests still run. */
#define RELEASE_STATES_RUNNING 1
#endif
#ifndef KEEP_CLOSED_IN_DOUBT /* A release whose reply was lost keeps the gate closed. */
#define KEEP_CLOSED_IN_DOUBT 1
#endif
#ifndef DARK_FROM_ROW /* The dark share follows from the row, not from later reports. */
#define DARK_FROM_ROW 1
#endif
#ifndef SETTLE_AGAIN /* A holder that notices a fall of the limit settles anew. */
#define SETTLE_AGAIN 1
#endif

#define UNKNOWN 99
#define SIZE (TERMS + 1) /* Terms count from 1. */

/* The table's row. */
byte present;            /* term of the present holder */
bool released;
bool listed[SIZE];       /* former holders */
byte stated[SIZE];       /* running requests that a release stated, or UNKNOWN */

/* What the holder of each term knows. */
bool runs[SIZE];
bool settled[SIZE];
bool closed[SIZE];
byte closings;
bool releaseSent[SIZE];  /* in flight or in doubt */
byte releaseRunning[SIZE];
bool darkOver[SIZE];     /* the dark limit has passed on the holder's clock */
bool gone[SIZE];         /* came back under a new incarnation; sends no more under this term */
bool noticed[SIZE];      /* the fall of the limit */
bool isListed[SIZE * SIZE]; /* its copy of the row */
byte bound[SIZE * SIZE]; /* least running count that a report showed of a holder that sends no more */
bool isReclaimed[SIZE * SIZE]; /* a report showed nothing after the holder's dark limit */

/* The server. */
bool fallen;
byte outstanding[SIZE];
byte window[SIZE];
byte fresh[SIZE];        /* of the outstanding: admitted after the holder noticed the fall */
bool windowIsFresh[SIZE];

/* Scratch of deterministic steps. */
hidden byte i;
hidden byte remaining;
hidden byte whole;
hidden byte allowed;
hidden byte dark[SIZE];
hidden byte reserve;
hidden byte sum;
hidden byte sumOfDark;
hidden byte isAccounted;

#define VIEW(t) (noticed[t] -> LOW : LIMIT)
#define SENDS_NO_MORE(i) (gone[i] || stated[i] != UNKNOWN)
#define IS_LISTED(t, i) isListed[(t) * SIZE + (i)]
#define BOUND(t, i) bound[(t) * SIZE + (i)]
#define IS_RECLAIMED(t, i) isReclaimed[(t) * SIZE + (i)]

inline subtract(from, amount) {
  from = (from > amount -> from - amount : 0)
}

/* divideLimit(): what each former holder may have, and what remains by the row. */
inline divide(t) {
  remaining = VIEW(t);
  i = 1;
  do
  :: i < t ->
     if
     :: IS_LISTED(t, i) && stated[i] != UNKNOWN -> dark[i] = stated[i]; subtract(remaining, dark[i])
     :: IS_LISTED(t, i) && stated[i] == UNKNOWN ->
        dark[i] = remaining / 2;
        reserve = dark[i] + WINDOW * RESERVE_WINDOW;
        subtract(remaining, reserve)
     :: else -> dark[i] = 0
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* server_gate::allowed(); leaves dark[] and remaining as divide() does. */
inline allow(t) {
  divide(t);
  whole = VIEW(t);
  i = 1;
  do
  :: i < t ->
     if
     :: !IS_LISTED(t, i) -> reserve = 0
     :: IS_LISTED(t, i) && !SENDS_NO_MORE(i) && IS_RECLAIMED(t, i) -> reserve = WINDOW * RESERVE_WINDOW
     :: else ->
        reserve = dark[i] + (stated[i] == UNKNOWN -> WINDOW * RESERVE_WINDOW : 0);
        if
        :: SENDS_NO_MORE(i) && BOUND(t, i) < reserve -> reserve = BOUND(t, i)
        :: else
        fi
     fi;
     subtract(whole, reserve);
     i++
  :: else -> break
  od;
  allowed = whole;
  if
  :: !runs[t] && DARK_FROM_ROW && remaining / 2 < whole -> allowed = remaining / 2
  :: !runs[t] && !DARK_FROM_ROW -> allowed = whole / 2
  :: else
  fi;
  if
  :: closed[t] || gone[t] || (!runs[t] && darkOver[t]) -> allowed = 0
  :: !settled[t] && (runs[t] || DARK_NEEDS_SETTLED) -> allowed = 0
  :: else
  fi
}

/* A load report taken now: settles, and bounds holders that send no more or whose dark share is over. */
inline report(t) {
  divide(t);
  isAccounted = true;
  sum = 0;
  sumOfDark = 0;
  i = 1;
  do
  :: i < t ->
     if
     :: IS_LISTED(t, i) ->
        sum = sum + outstanding[i];
        sumOfDark = sumOfDark + dark[i];
        isAccounted = isAccounted && (stated[i] != UNKNOWN || outstanding[i] <= dark[i]);
        if
        :: SENDS_NO_MORE(i) && outstanding[i] < BOUND(t, i) -> BOUND(t, i) = outstanding[i]
        :: !SENDS_NO_MORE(i) && darkOver[i] && outstanding[i] == 0 -> IS_RECLAIMED(t, i) = true
        :: else
        fi
     :: else
     fi;
     i++
  :: else -> break
  od;
  settled[t] = settled[t] || (REPORT_BY_ORIGIN -> isAccounted : sum <= sumOfDark)
}

/* The row shrinks by former holders that send no more and have nothing left. */
inline shorten(t) {
  i = 1;
  do
  :: i < t ->
     if
     :: IS_LISTED(t, i) && SENDS_NO_MORE(i) && BOUND(t, i) == 0 -> IS_LISTED(t, i) = false; listed[i] = false
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

inline takeOver(t) {
  if
  :: t > 1 && !released -> listed[t - 1] = true; stated[t - 1] = UNKNOWN
  :: else
  fi;
  settled[t] = true;
  i = 1;
  do
  :: i < t ->
     IS_LISTED(t, i) = listed[i];
     BOUND(t, i) = UNKNOWN;
     IS_RECLAIMED(t, i) = false;
     settled[t] = settled[t] && (!listed[i] || stated[i] != UNKNOWN);
     i++
  :: else -> break
  od;
  settled[t] = settled[t] || !WAIT_FOR_REPORT;
  released = false;
  present = t;
  runs[t] = true
}

/* What the holder knew is of no use any more; fewer states differ. */
inline forget(t) {
  i = 1;
  do
  :: i < t -> IS_LISTED(t, i) = false; BOUND(t, i) = 0; IS_RECLAIMED(t, i) = false; i++
  :: else -> break
  od;
  i = 0
}

inline judge() {
  sum = 0;
  sumOfDark = 0;
  i = 1;
  do
  :: i <= TERMS -> sum = sum + outstanding[i]; sumOfDark = sumOfDark + fresh[i]; i++
  :: else -> break
  od;
  assert(sum <= LIMIT);
  assert(sumOfDark <= LOW)
}

proctype holder(byte t) {
  /* T: claim, or takeover when the former term no longer runs or was released. */
  d_step { present == t - 1 && (t == 1 || released || !runs[t - 1]) -> takeOver(t) };
  do
  :: d_step { runs[t] -> runs[t] = false }
  /* T: the renewal still finds the row as it was. */
  :: d_step { !runs[t] && present == t && !released -> runs[t] = true; darkOver[t] = false }
  :: d_step { !runs[t] && !darkOver[t] -> darkOver[t] = true }
  /* T: lost to a successor, the daemon registers a new incarnation. */
  :: d_step { present > t && !gone[t] && (window[t] == 0 || !RETURN_NEEDS_EMPTY_WINDOW) ->
       gone[t] = true; settled[t] = false; darkOver[t] = true; noticed[t] = fallen; forget(t) }
  :: d_step { t > 1 && runs[t] && present == t -> report(t) }
  /* T */
  :: d_step { t > 1 && runs[t] && present == t && !released -> shorten(t) }
  /* The last check, and then the write; the daemon may be paused between them for any time. */
  :: d_step { window[t] < WINDOW && present >= t ->
       allow(t);
       if
       :: outstanding[t] + window[t] < allowed -> window[t]++; windowIsFresh[t] = noticed[t]
       :: else
       fi }
  :: d_step { window[t] > 0 ->
       window[t]--; outstanding[t]++; fresh[t] = fresh[t] + windowIsFresh[t]; windowIsFresh[t] = false; judge() }
  :: d_step { outstanding[t] > fresh[t] -> outstanding[t]-- }
  :: d_step { fresh[t] > 0 -> outstanding[t]--; fresh[t]-- }
  :: d_step { fallen && !noticed[t] -> noticed[t] = true; settled[t] = settled[t] && (t == 1 || !SETTLE_AGAIN) }
#if RELEASES
  :: d_step { runs[t] && present == t && !released && !closed[t] && closings < RELEASES ->
       closed[t] = true; closings++ }
  :: d_step { closed[t] && !releaseSent[t] && window[t] == 0 ->
       releaseSent[t] = true; releaseRunning[t] = (RELEASE_STATES_RUNNING -> outstanding[t] : 0) }
  /* T: the release takes effect, perhaps late and with its reply lost. */
  :: d_step { releaseSent[t] && present == t && !released ->
       released = true; runs[t] = false; listed[t] = releaseRunning[t] > 0; stated[t] = releaseRunning[t];
       releaseRunning[t] = 0; settled[t] = false; darkOver[t] = true; forget(t) }
  :: d_step { closed[t] && !released && (!releaseSent[t] || !KEEP_CLOSED_IN_DOUBT) -> closed[t] = false }
#endif
  :: timeout -> break
  od
}

init {
  atomic {
    byte t = 1;
    do
    :: t <= TERMS -> stated[t] = UNKNOWN; run holder(t); t++
    :: else -> break
    od
  }
#if LOW < LIMIT
  /* The server turns cold by a restart, which loses its work. */
  d_step { fallen = true; i = 1;
    do
    :: i <= TERMS -> outstanding[i] = 0; fresh[i] = 0; i++
    :: else -> break
    od;
    i = 0 }
#endif
}
