/* Single execution of one order: claims in the table, refusals, and order reservations.
 *
 * Three calls with one key are handled concurrently, each by a daemon that may be paused or killed between any two
 * steps, and may be suspected dead while it runs. The table may lose replies after the write, apply requests late, and
 * become unreachable and reachable again at any step. The backend server runs every request that reaches it, also
 * late, and checks no fencing token.
 *
 * Checked: the order runs at most once; and once "not run" was reported, it has not run and never runs.
 *
 * -DRECORDS_DISPATCH=1     the holder writes Dispatching before it dispatches, and others may fence until then
 * -DRESERVATION=1          the key is a reservation; calls reach its issuer, which may be killed and restarted
 * Faulty variants, in which the check must fail:
 * -DTAKEOVER=1             a dead holder's claim is taken over to run the order
 * -DREFUSE_UNFENCED=1      a call is refused as "not run" without a row
 * -DFENCE_UNCHECKED=1      a dead holder's claim is reported as "not run" although it does not record its dispatch
 * -DMARK_SKIPPED=1         with RECORDS_DISPATCH: the holder dispatches without writing Dispatching
 * -DRETRY_LOST=1           another dispatch follows when the reply of the first was lost
 * -DSETTLE_BY_READ=1       a lost reply to a refusal is settled by a read that finds no row
 * -DFOREIGN_RESERVATION=1  another incarnation runs the reservation
 *   spin -a single_execution.pml && gcc -O2 -DSAFETY -o pan pan.c && ./pan -m200000
 */
#ifndef RECORDS_DISPATCH
#define RECORDS_DISPATCH 0
#endif
#ifndef RESERVATION
#define RESERVATION 0
#endif
#ifndef TAKEOVER
#define TAKEOVER 0
#endif
#ifndef REFUSE_UNFENCED
#define REFUSE_UNFENCED 0
#endif
#ifndef FENCE_UNCHECKED
#define FENCE_UNCHECKED 0
#endif
#ifndef MARK_SKIPPED
#define MARK_SKIPPED 0
#endif
#ifndef RETRY_LOST
#define RETRY_LOST 0
#endif
#ifndef SETTLE_BY_READ
#define SETTLE_BY_READ 0
#endif
#ifndef FOREIGN_RESERVATION
#define FOREIGN_RESERVATION 0
#endif

#define CALLS 3

/* States of a row, then outcomes of a write. */
#define Absent 0
#define Claimed 1
#define Dispatching 2
#define Ended 3 /* Done or Unknown, which other daemons treat alike in this model */
#define NotRun 4
#define Pending 0
#define Written 1
#define Conflict 2
#define Indeterminate 3

#define NO_HOLDER CALLS

byte row = Absent; /* state of the claim's row */
byte holder = NO_HOLDER; /* the call whose attempt inserted it */
bool isDead[CALLS]; /* its daemon was killed */
byte incarnation; /* of the daemon that issued the reservation */
byte reservation = Absent; /* the reservation's record in the memory of incarnation 0 */
byte foreignReservation = Absent; /* in the memory of the next incarnation, only with FOREIGN_RESERVATION */
byte killsLeft = 2;
byte delaysLeft = 1; /* requests that take effect late */
byte pendingAtBackend; /* dispatched, not yet run */
byte runs;
bool isNotRunReported;

#define INITIAL_STATE (RECORDS_DISPATCH -> Claimed : Dispatching)

inline reportNotRun() {
  atomic {
    if
    :: isDead[self]
    :: !isDead[self] -> isNotRunReported = true; assert(runs == 0)
    fi
  }
}

/* A write that takes effect after its sender has stopped waiting for it, or never. */
proctype delayedWrite(byte self; byte expectedHolder; byte expected; byte state) {
  atomic {
    if
    :: row == expected && holder == expectedHolder ->
         row = state;
         if
         :: expectedHolder == NO_HOLDER -> holder = self
         :: else
         fi
    :: true
    fi
  }
}

/* Repeats the same conditional write until a reply arrives or the sender gives up. */
inline writeSettled(expected, expectedHolder, state) {
  outcome = Pending;
  do
  :: outcome != Pending -> break
  :: outcome == Pending -> atomic {
       if
       :: isDead[self] -> outcome = Indeterminate
       :: !isDead[self] -> outcome = Indeterminate /* table unreachable, or too many replies lost */
       :: !isDead[self] && row == expected && holder == expectedHolder ->
            row = state;
            if
            :: expectedHolder == NO_HOLDER -> holder = self
            :: else
            fi;
            if
            :: outcome = Written
            :: skip /* the reply is lost */
            fi
       :: !isDead[self] && (row != expected || holder != expectedHolder) ->
            if
            :: row == state && holder == (expectedHolder == NO_HOLDER -> self : expectedHolder) -> outcome = Written
            :: else -> outcome = Conflict
            fi
       :: !isDead[self] && delaysLeft > 0 ->
            delaysLeft--;
            run delayedWrite(self, expectedHolder, expected, state)
       fi }
  od
}

/* Dispatches, possibly to a second backend server after an explicit refusal.
 * Each attempt is checked just before it is sent. */
inline dispatch() {
  attemptsLeft = 2;
  do
  :: attemptsLeft == 0 || isDead[self] || (wasDispatched && !RETRY_LOST) -> break
  :: attemptsLeft > 0 && !isDead[self] && (!wasDispatched || RETRY_LOST) ->
       attemptsLeft--;
       if
       :: atomic { !isDead[self] -> pendingAtBackend++; wasDispatched = true } /* a response arrives, or is lost */
       :: skip /* refused by the server's owner */
       fi
  od;
  attemptsLeft = 0
}

proctype claimCall(byte self) {
  byte attemptsLeft; byte seenHolder;
  byte seenState; byte outcome; byte expected;
  bool wasDispatched;

  if
  :: REFUSE_UNFENCED && self > 0 -> reportNotRun(); goto end
  :: self > 0 -> writeSettled(Absent, NO_HOLDER, NotRun); /* refused before it is claimed */
     if
     :: outcome == Written -> reportNotRun(); goto end
     :: outcome == Indeterminate ->
          if
          :: SETTLE_BY_READ && row == Absent -> reportNotRun()
          :: else /* "unknown" */
          fi;
          goto end
     :: outcome == Conflict -> goto otherAttempt
     fi
  :: writeSettled(Absent, NO_HOLDER, INITIAL_STATE);
     if
     :: outcome == Written -> skip
     :: outcome == Indeterminate -> goto abandoned /* "unknown" */
     :: outcome == Conflict -> goto otherAttempt
     fi
  fi;

  if
  :: RECORDS_DISPATCH && !MARK_SKIPPED -> writeSettled(Claimed, self, Dispatching)
  :: !RECORDS_DISPATCH || MARK_SKIPPED
  fi;
  if
  :: outcome == Written -> dispatch()
  :: else /* fenced or indeterminate: never dispatched */
  fi;
  /* "Not run" may be reported before the write, as the row belongs to this attempt.
   * A conflict means that the row was fenced. */
  if
  :: !wasDispatched ->
       reportNotRun();
       expected = (outcome == Written && RECORDS_DISPATCH -> Dispatching : INITIAL_STATE);
       writeSettled(expected, self, NotRun)
  :: wasDispatched -> writeSettled(Dispatching, self, Ended)
  fi;
  goto end;

abandoned: /* fenced later, as outcome_backlog does */
  writeSettled(Absent, NO_HOLDER, NotRun);
  if
  :: outcome == Conflict && holder == self -> writeSettled(INITIAL_STATE, self, NotRun)
  :: else
  fi;
  goto end;

otherAttempt: /* the row belongs to another attempt */
  atomic { seenState = row; seenHolder = holder };
  if
  :: seenState == NotRun -> reportNotRun()
  :: seenState == Claimed -> /* its holder is dead or suspected */
       writeSettled(Claimed, seenHolder, NotRun);
       if
       :: outcome == Written -> reportNotRun()
       :: else
       fi
  :: seenState == Dispatching && FENCE_UNCHECKED && isDead[seenHolder] -> reportNotRun()
  :: seenState == Dispatching && TAKEOVER && isDead[seenHolder] ->
       atomic {
         if
         :: row == Dispatching && holder == seenHolder && !isDead[self] -> holder = self; outcome = Written
         :: else
         fi };
       if
       :: outcome == Written -> dispatch()
       :: else
       fi
  :: else /* "in progress", "unknown" or the stored response */
  fi;
end:
  atomic { outcome = 0; seenState = 0; seenHolder = 0; expected = 0; wasDispatched = 0 }
}

/* The record is in the memory of the incarnation that handles the call, and is lost when that one is killed. */
proctype reservationCall(byte self) {
  byte ownIncarnation; byte attemptsLeft;
  bool wasDispatched; bool holdsReservation;

  atomic {
    ownIncarnation = incarnation;
    if
    :: ownIncarnation == 0 && reservation == Absent -> reservation = Dispatching; holdsReservation = true
    :: ownIncarnation == 0 && reservation == NotRun -> reportNotRun()
    :: ownIncarnation != 0 && FOREIGN_RESERVATION && foreignReservation == Absent ->
         foreignReservation = Dispatching; holdsReservation = true
    :: else /* "in progress", "unknown" or the stored response */
    fi
  }
  if
  :: holdsReservation ->
       dispatch();
       atomic {
         if
         :: isDead[self]
         :: !isDead[self] && wasDispatched -> reservation = Ended
         :: !isDead[self] && !wasDispatched -> reservation = NotRun; reportNotRun()
         fi }
  :: else
  fi
}

/* Runs each dispatched order at any later time. */
active proctype backend() {
end_backend:
  do
  :: atomic { pendingAtBackend > 0 -> pendingAtBackend--; runs++; assert(runs <= 1); assert(!isNotRunReported) }
  od
}

active proctype kill_daemons() {
  byte victim;
end_kills:
  do
  :: atomic { killsLeft > 0 && RESERVATION ->
       killsLeft--; incarnation++;
       isDead[0] = true; isDead[1] = true }
  :: atomic { killsLeft > 0 && !RESERVATION ->
       killsLeft--;
       select(victim : 0 .. CALLS - 1);
       isDead[victim] = true; victim = 0 }
  od
}

init {
#if RESERVATION
  atomic { run reservationCall(0); run reservationCall(1) };
  (incarnation > 0) -> run reservationCall(2) /* resent after the restart */
#else
  atomic { run claimCall(0); run claimCall(1); run claimCall(2) }
#endif
}
