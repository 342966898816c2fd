/* What a cold backend server gets in one second from all daemons, each of which knows only its own view.
 *
 * A second has SECOND ticks. Each daemon that takes itself for a sender has a bucket of one request, filled at its
 * part of the rate. Views differ: up to STRAYS daemons see themselves alone, whether the network cut them off or
 * they have just started. A daemon that starts again has a full bucket. Names are those of lib/Routing/cold_senders.cpp
 * and include/radishflow/Routing/cold_share.h.
 *
 * Checked: no second, wherever it begins, holds more than EXCESS times the rate and the slack.
 *
 * Each rule can be switched off (-D<RULE>=0) and must then be found missing; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 5
#endif
#ifndef MOST_SENDERS
#define MOST_SENDERS 2
#endif
#ifndef STRAYS
#define STRAYS 2
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#define SECOND 4 /* ticks */
#define RATE 4   /* requests a second */
#define LIMIT (RATE * 3 / 2 + MOST_SENDERS)

#ifndef CHOOSE_SENDERS /* Only the first daemons by rank send to a cold server. */
#define CHOOSE_SENDERS 1
#endif
#ifndef REMEMBER_SIZE /* A daemon that sees nobody divides by the size that it saw before. */
#define REMEMBER_SIZE 1
#endif
#ifndef SINGLE_TOKEN /* A bucket holds one request, not two. */
#define SINGLE_TOKEN 1
#endif
#ifndef TAKE_AT_SENDING /* The token is taken when the request is sent, not when its answer comes. */
#define TAKE_AT_SENDING 1
#endif

#define CAPACITY (SINGLE_TOKEN -> 1 : 2)
#define PART_TICKS(senders) (SECOND * (senders) / RATE) /* between two requests of one sender */

bool strays[DAEMONS];
byte strayCount;
byte restarts;
byte ticks[DAEMONS];  /* since the bucket began to fill; full at PART_TICKS times CAPACITY */
byte unanswered[DAEMONS]; /* sent without a token being taken yet */
byte sent[SECOND];    /* by tick, a ring */
byte present;
byte total;

inline partOf(daemon) {
    if
    :: strays[daemon] && !REMEMBER_SIZE -> part = PART_TICKS(1)
    :: else -> part = PART_TICKS(MOST_SENDERS)
    fi
}

inline trySend(daemon) {
    partOf(daemon);
    if
    :: (!CHOOSE_SENDERS || strays[daemon] || daemon < MOST_SENDERS) && ticks[daemon] >= part ->
        if
        :: TAKE_AT_SENDING -> ticks[daemon] = ticks[daemon] - part
        :: !TAKE_AT_SENDING && unanswered[daemon] < 2 -> unanswered[daemon]++
        :: else -> goto passed
        fi;
        sent[present]++;
        total++;
        assert(total <= LIMIT)
    :: else
    fi;
passed: skip
}

active proctype fleet() {
    byte daemon;
    byte part;
    atomic {
        daemon = 0;
        do
        :: daemon < DAEMONS -> ticks[daemon] = PART_TICKS(MOST_SENDERS) * CAPACITY; daemon++
        :: else -> break
        od
    }
    do
    :: atomic { /* Any daemon may have a request for the server. */
        select(daemon : 0 .. DAEMONS - 1);
        trySend(daemon)
       }
    :: atomic { /* A daemon comes to see itself alone. */
        strayCount < STRAYS ->
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: !strays[daemon] -> strays[daemon] = true; strayCount++
        :: else
        fi
       }
    :: atomic {
        restarts < RESTARTS ->
        select(daemon : 0 .. DAEMONS - 1);
        ticks[daemon] = PART_TICKS(MOST_SENDERS) * CAPACITY;
        unanswered[daemon] = 0;
        restarts++
       }
    :: atomic { /* An answer arrives. */
        !TAKE_AT_SENDING ->
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: unanswered[daemon] > 0 -> unanswered[daemon]--; ticks[daemon] = 0
        :: else
        fi
       }
    :: d_step { /* Time passes. */
        present = (present + 1) % SECOND;
        total = total - sent[present];
        sent[present] = 0;
        daemon = 0;
        do
        :: daemon < DAEMONS ->
            if
            :: ticks[daemon] < PART_TICKS(MOST_SENDERS) * CAPACITY -> ticks[daemon]++
            :: else
            fi;
            daemon++
        :: else -> break
        od;
        daemon = 0;
        part = 0
       }
    od
}
