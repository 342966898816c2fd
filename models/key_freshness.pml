/* A key that was taken away stops working everywhere within BOUND ticks, whoever sees the store.
 *
 * Daemons read the configuration from the store, whose answers may come late, and take over from each other that a
 * version was the newest at some time. A daemon that is cut off gets no message: a run in which its steps never
 * come. Time is CLOCK_BOOTTIME, which all daemons share as a rate; its offsets cancel out, since ages are sent.
 * Names are those of include/radishflow/Routing/key_freshness.h.
 *
 * Checked: no request with the key is served more than BOUND ticks after the key was taken away.
 *
 * Each rule can be switched off (-D<RULE>=0) and must then be found missing; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#define BOUND 3
#define LAST 9 /* tick; the key's removal comes at any time before */

#ifndef BOUND_TRUST /* Keys are refused when the last confirmation is older than the bound. */
#define BOUND_TRUST 1
#endif
#ifndef CONFIRM_AT_READING /* A confirmation counts from when the store read, not from when its answer came. */
#define CONFIRM_AT_READING 1
#endif
#ifndef KEEP_AGE /* A confirmation that is passed on keeps its time. */
#define KEEP_AGE 1
#endif
#ifndef MATCH_VERSION /* A confirmation of a version that this daemon doesn't have confirms nothing. */
#define MATCH_VERSION 1
#endif

byte now;
byte version;          /* the store's; version 1 has no key any more */
byte removedAt;

byte known[DAEMONS];   /* version that each daemon routes by */
byte confirmedAt[DAEMONS];

bool isAnswered[DAEMONS]; /* an answer of the store is on its way */
byte answerVersion[DAEMONS];
byte answerAt[DAEMONS];

inline confirm(daemon, at) {
    if
    :: (at) > confirmedAt[daemon] -> confirmedAt[daemon] = (at)
    :: else
    fi
}

active proctype fleet() {
    byte daemon;
    byte other;
    do
    :: d_step { now < LAST -> now++ }
    :: atomic { version == 0 -> version = 1; removedAt = now }
    :: atomic { /* The store reads for a daemon. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: !isAnswered[daemon] -> isAnswered[daemon] = true; answerVersion[daemon] = version; answerAt[daemon] = now
        :: else
        fi;
        daemon = 0
       }
    :: atomic { /* The answer arrives. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: isAnswered[daemon] ->
            isAnswered[daemon] = false;
            if
            :: answerVersion[daemon] > known[daemon] -> known[daemon] = answerVersion[daemon]
            :: else
            fi;
            /* An answer that was overtaken by a newer version says nothing of that one's age. */
            if
            :: answerVersion[daemon] == known[daemon] ->
                if
                :: CONFIRM_AT_READING -> confirm(daemon, answerAt[daemon])
                :: else -> confirm(daemon, now)
                fi
            :: else
            fi
        :: else
        fi;
        daemon = 0
       }
    :: atomic { /* A daemon hears another's confirmation, late or not. */
        select(daemon : 0 .. DAEMONS - 1);
        select(other : 0 .. DAEMONS - 1);
        if
        :: daemon != other && (!MATCH_VERSION || known[daemon] == known[other]) ->
            if
            :: KEEP_AGE -> confirm(daemon, confirmedAt[other])
            :: else -> confirm(daemon, now)
            fi
        :: else
        fi;
        daemon = 0;
        other = 0
       }
    :: atomic { /* A request with the key comes. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: known[daemon] == 0 && (!BOUND_TRUST || now - confirmedAt[daemon] < BOUND) ->
            assert(version == 0 || now - removedAt <= BOUND)
        :: else
        fi;
        daemon = 0
       }
    od
}
