/* Requests that a cold backend server receives in one second from all daemons, each of which has its own view of
 * the fleet.
 *
 * A second has SECOND ticks. Each daemon that counts itself among the senders has a token bucket of one request,
 * filled at its share of the rate. Views differ: up to MAX_ISOLATED daemons see no other daemon, either because of a
 * network partition or because they have just started. A restarted daemon has a full bucket. Names are those of
 * lib/Routing/cold_senders.cpp and include/radishflow/Routing/cold_share.h.
 *
 * Checked: in every window of one second, the server receives at most 3/2 of RATE plus MAX_SENDERS requests (LIMIT).
 *
 * Each rule can be switched off (-D<RULE>=0), and the check must then fail; models/MODELS.txt lists all runs.
 */
#ifndef DAEMONS
#define DAEMONS 5
#endif
#ifndef MAX_SENDERS
#define MAX_SENDERS 2
#endif
#ifndef MAX_ISOLATED
#define MAX_ISOLATED 2
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#define SECOND 4 /* ticks */
#define RATE 4 /* requests a second */
#define LIMIT (RATE * 3 / 2 + MAX_SENDERS)

#ifndef CHOOSE_SENDERS /* Only the MAX_SENDERS first daemons by rank send to a cold server. */
#define CHOOSE_SENDERS 1
#endif
#ifndef REMEMBER_SIZE /* An isolated daemon divides the rate by the last fleet size that it saw. */
#define REMEMBER_SIZE 1
#endif
#ifndef SINGLE_TOKEN /* A bucket holds one request, not two. */
#define SINGLE_TOKEN 1
#endif
#ifndef TAKE_AT_SENDING /* The token is taken when the request is sent, not when its response arrives. */
#define TAKE_AT_SENDING 1
#endif

#define CAPACITY (SINGLE_TOKEN -> 1 : 2)
#define INTERVAL_TICKS(senders) (SECOND * (senders) / RATE) /* between two requests of one sender */

bool isIsolated[DAEMONS];
byte isolatedCount;
byte restarts;
byte accruedTicks[DAEMONS]; /* since the bucket began to fill; full at INTERVAL_TICKS times CAPACITY */
byte uncharged[DAEMONS]; /* requests sent whose token is not taken yet */
byte sent[SECOND]; /* requests by tick of the last second, a ring buffer */
byte currentTick;
byte sentInSecond;

inline computeInterval(daemon) {
    if
    :: isIsolated[daemon] && !REMEMBER_SIZE -> interval = INTERVAL_TICKS(1)
    :: else -> interval = INTERVAL_TICKS(MAX_SENDERS)
    fi
}

inline trySend(daemon) {
    computeInterval(daemon);
    if
    :: (!CHOOSE_SENDERS || isIsolated[daemon] || daemon < MAX_SENDERS) && accruedTicks[daemon] >= interval ->
        if
        :: TAKE_AT_SENDING -> accruedTicks[daemon] = accruedTicks[daemon] - interval
        :: !TAKE_AT_SENDING && uncharged[daemon] < 2 -> uncharged[daemon]++
        :: else -> goto done
        fi;
        sent[currentTick]++;
        sentInSecond++;
        assert(sentInSecond <= LIMIT)
    :: else
    fi;
done: skip
}

active proctype fleet() {
    byte daemon;
    byte interval;
    atomic {
        daemon = 0;
        do
        :: daemon < DAEMONS -> accruedTicks[daemon] = INTERVAL_TICKS(MAX_SENDERS) * CAPACITY; daemon++
        :: else -> break
        od
    }
    do
    :: atomic { /* Any daemon may have a request for the server. */
        select(daemon : 0 .. DAEMONS - 1);
        trySend(daemon)
       }
    :: atomic { /* A daemon starts to see no other daemon. */
        isolatedCount < MAX_ISOLATED ->
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: !isIsolated[daemon] -> isIsolated[daemon] = true; isolatedCount++
        :: else
        fi
       }
    :: atomic {
        restarts < RESTARTS ->
        select(daemon : 0 .. DAEMONS - 1);
        accruedTicks[daemon] = INTERVAL_TICKS(MAX_SENDERS) * CAPACITY;
        uncharged[daemon] = 0;
        restarts++
       }
    :: atomic { /* A response arrives, and its token is taken. */
        !TAKE_AT_SENDING ->
        select(daemon : 0 .. DAEMONS - 1);
        if
        :: uncharged[daemon] > 0 -> uncharged[daemon]--; accruedTicks[daemon] = 0
        :: else
        fi
       }
    :: d_step { /* Time passes. */
        currentTick = (currentTick + 1) % SECOND;
        sentInSecond = sentInSecond - sent[currentTick];
        sent[currentTick] = 0;
        daemon = 0;
        do
        :: daemon < DAEMONS ->
            if
            :: accruedTicks[daemon] < INTERVAL_TICKS(MAX_SENDERS) * CAPACITY -> accruedTicks[daemon]++
            :: else
            fi;
            daemon++
        :: else -> break
        od;
        daemon = 0;
        interval = 0
       }
    od
}
