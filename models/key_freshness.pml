/* A revoked key stops working at every daemon within MAX_REVOCATION_DELAY ticks, whichever daemons reach the store.
 *
 * Daemons read the configuration from the store, whose responses may be late, and receive from each other the time at
 * which a version was confirmed as current. A daemon that does not follow the store fetches a follower's copy of the
 * configuration, with the time as of which that copy was complete; this response may be late as well. A partitioned daemon receives no message: in such a run its receiving
 * steps never occur. Time is CLOCK_BOOTTIME, whose rate all daemons share; its offsets cancel out, since daemons
 * exchange ages. Names are those of include/radishflow/Routing/key_freshness.h.
 *
 * Checked: no request with the key is served more than MAX_REVOCATION_DELAY ticks after the key was revoked.
 *
 * Each rule can be switched off (-D<RULE>=0), and the check must then fail; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#define MAX_REVOCATION_DELAY 3
#define LAST_TICK 9 /* The key is revoked at any tick up to this one. */

#ifndef EXPIRE_CONFIRMATION /* Keys are refused when the last confirmation is older than the bound. */
#define EXPIRE_CONFIRMATION 1
#endif
#ifndef CONFIRM_AT_READ_TIME /* A confirmation counts from the read in the store, not from the arrival of its response. */
#define CONFIRM_AT_READ_TIME 1
#endif
#ifndef KEEP_AGE /* A confirmation that is forwarded keeps its time. */
#define KEEP_AGE 1
#endif
#ifndef MATCH_VERSION /* A confirmation of a version other than the one that the daemon has applied is ignored. */
#define MATCH_VERSION 1
#endif
#ifndef DATE_COPY /* A follower's copy confirms as of the time at which the follower read it. */
#define DATE_COPY 1
#endif
#ifndef KEEP_NEWER /* A copy that is older than the applied version is ignored. */
#define KEEP_NEWER 1
#endif

byte now;
byte storeVersion; /* in the store; version 1 no longer contains the key */
byte revokedAt;

byte appliedVersion[DAEMONS]; /* version by which each daemon routes */
byte confirmedAt[DAEMONS];

bool isResponsePending[DAEMONS]; /* a response of the store is in flight */
byte responseVersion[DAEMONS];
byte responseReadAt[DAEMONS];

bool isCopyPending[DAEMONS]; /* a copy of another daemon is in flight */
byte copyVersion[DAEMONS];
byte copyReadAt[DAEMONS];

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
    :: d_step { now < LAST_TICK -> now++ }
    :: atomic { storeVersion == 0 -> storeVersion = 1; revokedAt = now }
    :: atomic { /* The store reads the configuration for a daemon. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: !isResponsePending[daemon] ->
            isResponsePending[daemon] = true;
            responseVersion[daemon] = storeVersion;
            responseReadAt[daemon] = now
        :: else
        fi;
        daemon = 0
       }
    :: atomic { /* The response arrives. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: isResponsePending[daemon] ->
            isResponsePending[daemon] = false;
            if
            :: responseVersion[daemon] > appliedVersion[daemon] -> appliedVersion[daemon] = responseVersion[daemon]
            :: else
            fi;
            /* A response with an older version than the applied one does not confirm the applied one. */
            if
            :: responseVersion[daemon] == appliedVersion[daemon] ->
                if
                :: CONFIRM_AT_READ_TIME -> confirm(daemon, responseReadAt[daemon])
                :: else -> confirm(daemon, now)
                fi
            :: else
            fi
        :: else
        fi;
        daemon = 0
       }
    :: atomic { /* A daemon receives another daemon's confirmation, possibly late. */
        select(daemon : 0 .. DAEMONS - 1);
        select(other : 0 .. DAEMONS - 1);
        if
        :: daemon != other && (!MATCH_VERSION || appliedVersion[daemon] == appliedVersion[other]) ->
            if
            :: KEEP_AGE -> confirm(daemon, confirmedAt[other])
            :: else -> confirm(daemon, now)
            fi
        :: else
        fi;
        daemon = 0;
        other = 0
       }
    :: atomic { /* A daemon asks another one for its copy. */
        select(daemon : 0 .. DAEMONS - 1);
        select(other : 0 .. DAEMONS - 1);
        if
        :: daemon != other && !isCopyPending[daemon] ->
            isCopyPending[daemon] = true;
            copyVersion[daemon] = appliedVersion[other];
            copyReadAt[daemon] = confirmedAt[other]
        :: else
        fi;
        daemon = 0;
        other = 0
       }
    :: atomic { /* The copy arrives. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: isCopyPending[daemon] ->
            isCopyPending[daemon] = false;
            if
            :: copyVersion[daemon] >= appliedVersion[daemon] || !KEEP_NEWER ->
                appliedVersion[daemon] = copyVersion[daemon];
                if
                :: DATE_COPY -> confirm(daemon, copyReadAt[daemon])
                :: else -> confirm(daemon, now)
                fi
            :: else
            fi
        :: else
        fi;
        daemon = 0
       }
    :: atomic { /* A request with the key arrives. */
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: appliedVersion[daemon] == 0 && (!EXPIRE_CONFIRMATION || now - confirmedAt[daemon] < MAX_REVOCATION_DELAY) ->
            assert(storeVersion == 0 || now - revokedAt <= MAX_REVOCATION_DELAY)
        :: else
        fi;
        daemon = 0
       }
    od
}
