/* Single execution of one order: claims in the table, refusals, and order tickets.
 *
 * Three calls with one key are handled at once, each by a daemon that may be paused or killed between any
 * two steps, and may be suspected while it runs.  The table loses replies after the write, requests take
 * effect late, and it is dark and back at any step.  The backend server runs
 * whatever reaches it, also late, and checks no fencing number.
 *
 * Always: the order runs at most once, and after "not run" was told it has not run and never runs.
 *
 * -DRECORDS_DISPATCH=1   the holder writes Dispatching before it dispatches, and others may fence before
 * -DTICKET=1             the key is a ticket; calls reach its issuer, which may be killed and come back
 * Variants that must fail:
 * -DTAKEOVER=1           a dead holder's claim is taken over to run
 * -DREFUSE_UNFENCED=1    a call is refused as "not run" without a row
 * -DFENCE_UNCHECKED=1    a dead holder's claim is called "not run" though it doesn't record its dispatch
 * -DMARK_SKIPPED=1       with RECORDS_DISPATCH: the holder dispatches without writing Dispatching
 * -DRETRY_LOST=1         another dispatch follows when the reply of the first was lost
 * -DSETTLE_BY_READ=1     a lost reply of a refusal is settled by a read that finds no row
 * -DFOREIGN_TICKET=1     another incarnation runs the ticket
 *   spin -a single_execution.pml && gcc -O2 -DSAFETY -o pan pan.c && ./pan -m200000
 */
#ifndef RECORDS_DISPATCH
#define RECORDS_DISPATCH 0
#endif
#ifndef TICKET
#define TICKET 0
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
#ifndef FOREIGN_TICKET
#define FOREIGN_TICKET 0
#endif

#define CALLS 3

/* States of a row, then outcomes of a write. */
#define Absent 0
#define Claimed 1
#define Dispatching 2
#define Ended 3               /* Done or Unknown, which other daemons treat alike here */
#define NotRun 4
#define Again 0
#define Written 1
#define Overtaken 2
#define Unsettled 3

#define NOBODY CALLS

byte row = Absent;           /* state of the claim's row */
byte holder = NOBODY;        /* the call whose attempt inserted it */
bool isDead[CALLS];          /* its daemon was killed */
byte incarnation;            /* of the daemon that issued the ticket */
byte ticket = Absent;        /* the ticket's record in the memory of incarnation 0 */
byte foreignTicket = Absent; /* in the memory of the next one, only with FOREIGN_TICKET */
byte killsLeft = 2;
byte delaysLeft = 1;         /* requests that take effect late */
byte atBackend;              /* dispatched, not yet run */
byte runs;
bool toldNotRun;

#define INSERTED (RECORDS_DISPATCH -> Claimed : Dispatching)

inline tellNotRun() {
  atomic {
    if
    :: isDead[self]
    :: !isDead[self] -> toldNotRun = true; assert(runs == 0)
    fi
  }
}

/* A request that takes effect after its sender has stopped waiting for it, or never. */
proctype delayedWrite(byte self; byte expectedHolder; byte expected; byte state) {
  atomic {
    if
    :: row == expected && holder == expectedHolder ->
         row = state;
         if
         :: expectedHolder == NOBODY -> holder = self
         :: else
         fi
    :: true
    fi
  }
}

/* writeSettled: the same conditional write again until a reply comes, or the sender gives up. */
inline write(expected, expectedHolder, state) {
  outcome = Again;
  do
  :: outcome != Again -> break
  :: outcome == Again -> atomic {
       if
       :: isDead[self] -> outcome = Unsettled
       :: !isDead[self] -> outcome = Unsettled            /* dark, or too many replies lost */
       :: !isDead[self] && row == expected && holder == expectedHolder ->
            row = state;
            if
            :: expectedHolder == NOBODY -> holder = self
            :: else
            fi;
            if
            :: outcome = Written
            :: skip                                       /* the reply is lost */
            fi
       :: !isDead[self] && (row != expected || holder != expectedHolder) ->
            if
            :: row == state && holder == (expectedHolder == NOBODY -> self : expectedHolder) -> outcome = Written
            :: else -> outcome = Overtaken
            fi
       :: !isDead[self] && delaysLeft > 0 ->
            delaysLeft--;
            run delayedWrite(self, expectedHolder, expected, state)
       fi }
  od
}

/* Dispatches, maybe to a second backend server after an explicit refusal.  Each check stands right before it. */
inline dispatch() {
  triesLeft = 2;
  do
  :: triesLeft == 0 || isDead[self] || (wasSent && !RETRY_LOST) -> break
  :: triesLeft > 0 && !isDead[self] && (!wasSent || RETRY_LOST) ->
       triesLeft--;
       if
       :: atomic { !isDead[self] -> atBackend++; wasSent = true }   /* answered, or its reply is lost */
       :: skip                                            /* refused by its owner */
       fi
  od;
  triesLeft = 0
}

proctype claimCall(byte self) {
  byte triesLeft; byte seenHolder;
  byte seen; byte outcome; byte expected;
  bool wasSent;

  if
  :: REFUSE_UNFENCED && self > 0 -> tellNotRun(); goto end
  :: self > 0 -> write(Absent, NOBODY, NotRun);           /* refused before it is claimed */
     if
     :: outcome == Written -> tellNotRun(); goto end
     :: outcome == Unsettled ->
          if
          :: SETTLE_BY_READ && row == Absent -> tellNotRun()
          :: else                                         /* "unknown" */
          fi;
          goto end
     :: outcome == Overtaken -> goto other
     fi
  :: write(Absent, NOBODY, INSERTED);
     if
     :: outcome == Written -> skip
     :: outcome == Unsettled -> goto abandoned            /* "unknown" */
     :: outcome == Overtaken -> goto other
     fi
  fi;

  if
  :: RECORDS_DISPATCH && !MARK_SKIPPED -> write(Claimed, self, Dispatching)
  :: !RECORDS_DISPATCH || MARK_SKIPPED
  fi;
  if
  :: outcome == Written -> dispatch()
  :: else                                                 /* fenced or unsettled: never dispatched */
  fi;
  /* "Not run" is true without a write, as the row is its own.  An overtaken write met a fence. */
  if
  :: !wasSent -> tellNotRun(); expected = (outcome == Written && RECORDS_DISPATCH -> Dispatching : INSERTED); write(expected, self, NotRun)
  :: wasSent -> write(Dispatching, self, Ended)
  fi;
  goto end;

abandoned:                                                /* fenced later, as the backlog does */
  write(Absent, NOBODY, NotRun);
  if
  :: outcome == Overtaken && holder == self -> write(INSERTED, self, NotRun)
  :: else
  fi;
  goto end;

other:                                                    /* the row of another attempt was seen */
  atomic { seen = row; seenHolder = holder };
  if
  :: seen == NotRun -> tellNotRun()
  :: seen == Claimed ->                                   /* its holder is dead, or only suspected */
       write(Claimed, seenHolder, NotRun);
       if
       :: outcome == Written -> tellNotRun()
       :: else
       fi
  :: seen == Dispatching && FENCE_UNCHECKED && isDead[seenHolder] -> tellNotRun()
  :: seen == Dispatching && TAKEOVER && isDead[seenHolder] ->
       atomic {
         if
         :: row == Dispatching && holder == seenHolder && !isDead[self] -> holder = self; outcome = Written
         :: else
         fi };
       if
       :: outcome == Written -> dispatch()
       :: else
       fi
  :: else                                                 /* "in progress", "unknown" or the stored answer */
  fi;
end:
  atomic { outcome = 0; seen = 0; seenHolder = 0; expected = 0; wasSent = 0 }
}

/* The incarnation that handles the call keeps the record; a killed one takes it along. */
proctype ticketCall(byte self) {
  byte bornIn; byte triesLeft;
  bool wasSent; bool holds;

  atomic {
    bornIn = incarnation;
    if
    :: bornIn == 0 && ticket == Absent -> ticket = Dispatching; holds = true
    :: bornIn == 0 && ticket == NotRun -> tellNotRun()
    :: bornIn != 0 && FOREIGN_TICKET && foreignTicket == Absent -> foreignTicket = Dispatching; holds = true
    :: else                                               /* "in progress", "unknown" or the stored answer */
    fi
  }
  if
  :: holds ->
       dispatch();
       atomic {
         if
         :: isDead[self]
         :: !isDead[self] && wasSent -> ticket = Ended
         :: !isDead[self] && !wasSent -> ticket = NotRun; tellNotRun()
         fi }
  :: else
  fi
}

/* Runs what was dispatched, at any later time. */
active proctype backend() {
end_backend:
  do
  :: atomic { atBackend > 0 -> atBackend--; runs++; assert(runs <= 1); assert(!toldNotRun) }
  od
}

active proctype kills() {
  byte victim;
end_kills:
  do
  :: atomic { killsLeft > 0 && TICKET ->
       killsLeft--; incarnation++;
       isDead[0] = true; isDead[1] = true }
  :: atomic { killsLeft > 0 && !TICKET ->
       killsLeft--;
       select(victim : 0 .. CALLS - 1);
       isDead[victim] = true; victim = 0 }
  od
}

init {
#if TICKET
  atomic { run ticketCall(0); run ticketCall(1) };
  (incarnation > 0) -> run ticketCall(2)                  /* resent after the restart */
#else
  atomic { run claimCall(0); run claimCall(1); run claimCall(2) }
#endif
}
