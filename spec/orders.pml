/*
 * Leases and orders to one engine, decided by the order of the log.
 *
 * Rules have the names of packages/core/src/version/control/rules.ts. No step
 * looks at a clock: a follower may claim at any time, a holder may believe in
 * its lease for any time, and a process may pause between any two steps.
 *
 * Options: -DCHECKED for an engine that checks fencing numbers, otherwise it
 * ignores them. Each -DBROKEN_... seeds one fault.
 */
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef MAX_POSITION
#define MAX_POSITION 6
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
#endif
#define SLOTS 9 /* positions 1 to 8 */

mtype = { claim, open, closeResult, closeObserved, closeFenced, closeGone };

/* Folded control state at the end of the log. */
byte position = 0;             /* position of the newest record that got one */
byte epoch = 0;                /* current epoch of the lease; 0 is none */
byte holder = 0;
byte holderLife = 0;
byte order = 0;                /* newest admitted order; 0 is none */
bool orderOpen = false;
bool orderFences = false;
byte orderEpoch = 0;
byte orderSender = 0;
byte orderLife = 0;
byte registered[INSTANCES];    /* newest life that has recorded its start */

/* What each order was, by its position. */
bool admitted[SLOTS];
bool closed[SLOTS];
bool fences[SLOTS];
bool inFlight[SLOTS];          /* a copy is between sender and engine */

/* One append of each instance that has no answer yet. */
bool pending[INSTANCES];
mtype pendingKind[INSTANCES];
byte pendingLife[INSTANCES];
byte pendingEpoch[INSTANCES];
byte pendingOrder[INSTANCES];
bool pendingFences[INSTANCES];
bool pendingReached[INSTANCES]; /* the writer saw the order at its end */

/* The instances. */
byte life[INSTANCES];          /* counts starts */
byte ownEpoch[INSTANCES];      /* epoch in whose lease it believes */
byte ownOrder[INSTANCES];      /* order that it read back as admitted */
bool begun[INSTANCES];         /* it has begun to send that order */
bool ended[INSTANCES];         /* it will not send that order any more */
byte crashes = 0;

/* The engine. */
byte fence = 0;
byte lastOrder = 0;            /* newest order that it has run or runs */
byte running = 0;
bool engineCrashed = false;

/* ---- rules of the fold ---- */

#define isRegistered(i, l)  (registered[i] == (l))
#define isEpochCurrent(e)   (epoch == (e) && (e) != 0)

#define canClaimLease(i) \
  (pendingEpoch[i] == epoch && isRegistered(i, pendingLife[i]))

#ifdef BROKEN_TWO_OPEN_ORDERS
#define hasOpenOrder false
#else
#define hasOpenOrder orderOpen
#endif

#ifdef BROKEN_DEPOSED_ORDERS_COUNT
#define mayActUnder(e) true
#else
#define mayActUnder(e) isEpochCurrent(e)
#endif

#ifdef CHECKED
#define mayTakePlace(i) pendingFences[i]
#else
#ifdef BROKEN_CLOCK_TAKEOVER
/* A sender whose lease has run out is taken for gone. */
#define mayTakePlace(i) (orderEpoch != epoch)
#else
#define mayTakePlace(i) false
#endif
#endif

#define canOpenOrder(i) \
  (mayActUnder(pendingEpoch[i]) && isRegistered(i, pendingLife[i]) && \
   (!hasOpenOrder || mayTakePlace(i)))

#define isSendersResult(i) \
  (pendingKind[i] == closeResult && pendingEpoch[i] == orderEpoch && \
   orderSender == i && orderLife == pendingLife[i])

#define isSenderGone (!isRegistered(orderSender, orderLife))

/* An order that raises the number stands for the one whose place it took. */
#ifdef BROKEN_UNREACHED_FENCE_CLOSES
#define isReached(i) true
#else
#define isReached(i) (!orderFences || pendingReached[i])
#endif

#define canCloseOrder(i) \
  (orderOpen && order == pendingOrder[i] && isReached(i) && \
   (isSendersResult(i) || \
   (isEpochCurrent(pendingEpoch[i]) && \
    (pendingKind[i] == closeObserved || \
     (pendingKind[i] == closeGone && isSenderGone)))))

/* ---- the log ---- */

#ifdef CHECKED
#define hasEnded(n) (fence >= n && running == 0)
#else
#define hasEnded(n) (lastOrder == n && running == 0)
#endif

inline takePosition() {
  position++;
}

inline landClaim(i) {
  if
  :: canClaimLease(i) && position < MAX_POSITION ->
    takePosition();
    epoch = position;
    printf("log: %d holds the lease under epoch %d\n", i, epoch);
    holder = i;
    holderLife = pendingLife[i]
  :: else
  fi
}

inline landOpen(i) {
  if
  :: canOpenOrder(i) && position < MAX_POSITION ->
    /* A process that has lost its authority orders nothing. */
    assert(isEpochCurrent(pendingEpoch[i]));
    takePosition();
    if
    :: orderOpen -> closed[order] = true
    :: else
    fi;
    order = position;
    orderOpen = true;
    orderFences = pendingFences[i];
    orderEpoch = pendingEpoch[i];
    orderSender = i;
    orderLife = pendingLife[i];
    admitted[order] = true;
    printf("log: order %d of %d is open\n", order, i);
    fences[order] = pendingFences[i]
#ifdef BROKEN_NO_READ_BACK
  :: !canOpenOrder(i) && position < MAX_POSITION ->
    takePosition();
    fences[position] = pendingFences[i];
    printf("log: order %d of %d is void\n", position, i)
#endif
  :: else
  fi;
#ifdef BROKEN_NO_READ_BACK
  /* The answer of the append is taken for the admission of the order. */
  if
  :: life[i] == pendingLife[i] && ownOrder[i] == 0 ->
    ownOrder[i] = position;
    begun[i] = false;
    ended[i] = false
  :: else
  fi
#endif
}

inline landClose(i) {
  if
  :: canCloseOrder(i) ->
    orderOpen = false;
    closed[order] = true;
    printf("log: order %d is closed, %e\n", order, pendingKind[i])
  :: else
  fi
}

inline clearPending(i) {
  pending[i] = false;
  pendingKind[i] = 0;
  pendingLife[i] = 0;
  pendingEpoch[i] = 0;
  pendingOrder[i] = 0;
  pendingFences[i] = false;
  pendingReached[i] = false
}

inline appendRecord(i, k, e, o) {
  pending[i] = true;
  pendingKind[i] = k;
  pendingLife[i] = life[i];
  pendingEpoch[i] = e;
  pendingOrder[i] = o;
  pendingReached[i] = (o != 0 && hasEnded(o))
}

/* Appends land late, or never; the writer gets no answer it could trust. */
proctype Log(byte i) {
  do
  :: atomic {
      pending[i] ->
      if
      :: pendingKind[i] == claim -> landClaim(i)
      :: pendingKind[i] == open -> landOpen(i)
      :: pendingKind[i] != claim && pendingKind[i] != open -> landClose(i)
      :: true
      fi;
      clearPending(i)
    }
  od
}

/* ---- an instance ---- */

#define isOwn(i) (orderSender == i && orderLife == life[i])

#ifdef BROKEN_NO_FLIGHT_BOUND
#define bytesArrived(n) true
#else
/* Assumption: after the flight time no byte of the order is on its way. */
#define bytesArrived(n) (!inFlight[n])
#endif

proctype Instance(byte i) {
  do
  :: atomic { /* claims the epoch that it has read */
      !pending[i] && position < MAX_POSITION ->
      appendRecord(i, claim, epoch, 0)
    }
  :: atomic { /* reads that it holds the lease */
      holder == i && holderLife == life[i] && ownEpoch[i] != epoch &&
      epoch != 0 -> ownEpoch[i] = epoch
    }
  :: atomic { /* opens an order */
      !pending[i] && ownEpoch[i] != 0 && ownOrder[i] == 0 &&
      position < MAX_POSITION ->
      appendRecord(i, open, ownEpoch[i], 0);
#ifdef CHECKED
      if
      :: pendingFences[i] = true
      :: true
      fi
#endif
    }
#ifndef BROKEN_NO_READ_BACK
  :: atomic { /* reads its own order back as admitted */
      ownOrder[i] == 0 && orderOpen && isOwn(i) ->
      ownOrder[i] = order;
      begun[i] = false;
      ended[i] = false
    }
#endif
  :: atomic { /* sends; an engine that ignores numbers gets one copy only */
#ifdef CHECKED
      ownOrder[i] != 0 && !ended[i] && !inFlight[ownOrder[i]] ->
#else
#ifdef BROKEN_SENDS_TWICE
      ownOrder[i] != 0 && !ended[i] && !inFlight[ownOrder[i]] ->
#else
      ownOrder[i] != 0 && !ended[i] && !begun[i] ->
#endif
#endif
      begun[i] = true;
      printf("%d sends order %d\n", i, ownOrder[i]);
      inFlight[ownOrder[i]] = true
    }
  :: atomic { /* has seen the end of its order, or will never send it */
      !pending[i] && ownOrder[i] != 0 && orderOpen && order == ownOrder[i] &&
      (!begun[i] || ended[i] || hasEnded(ownOrder[i]) ||
       (bytesArrived(ownOrder[i]) && lastOrder != ownOrder[i] &&
        fence < ownOrder[i])) ->
      ended[i] = true;
      appendRecord(i, closeResult, orderEpoch, ownOrder[i])
    }
  :: atomic { /* its order was closed or replaced */
      ownOrder[i] != 0 && closed[ownOrder[i]] ->
      ownOrder[i] = 0;
      begun[i] = false;
      ended[i] = false
    }
  :: atomic { /* a later holder settles the order of an earlier sender */
      !pending[i] && ownEpoch[i] != 0 && orderOpen && !isOwn(i) ->
      if
      :: hasEnded(order) -> appendRecord(i, closeObserved, ownEpoch[i], order)
      :: isSenderGone && bytesArrived(order) && lastOrder != order &&
        running == 0 -> appendRecord(i, closeGone, ownEpoch[i], order)
      fi
    }
  :: atomic { /* crashes; what it has sent stays on its way */
      crashes < MAX_CRASHES ->
      crashes++;
      printf("%d crashes\n", i);
      life[i]++;
      ownEpoch[i] = 0;
      ownOrder[i] = 0;
      begun[i] = false;
      ended[i] = false
    }
  :: atomic { /* its start record proves that the earlier life has ended */
      registered[i] != life[i] ->
      printf("log: %d has started again\n", i);
      registered[i] = life[i]
    }
  od
}

/* ---- the engine ---- */

/* An open order that raises the number has replaced this one, unaccepted. */
#ifdef CHECKED
#define mayStillRun(n) (orderOpen && orderFences && fence <= n)
#else
#define mayStillRun(n) false
#endif

inline accept(n) {
  if
  :: fences[n] -> printf("engine: its number is %d\n", n)
  :: else ->
    printf("engine: order %d begins\n", n);
#ifdef REACHED
    /* Fails in a sound model: an order of a second lease runs. */
    assert(!(orderEpoch > 1 && order == n));
#endif
    /* An engine never holds two conflicting orders at once. */
    assert(running == 0);
    /* What was not admitted, or is closed, changes nothing on any engine. */
    assert(admitted[n] && (!closed[n] || mayStillRun(n)));
    running = n;
    lastOrder = n
  fi
}

active proctype Engine() {
  byte n = 0;
  do
  :: atomic { /* an order arrives, or is lost */
      if
      :: inFlight[1] -> n = 1
      :: inFlight[2] -> n = 2
      :: inFlight[3] -> n = 3
      :: inFlight[4] -> n = 4
      :: inFlight[5] -> n = 5
      :: inFlight[6] -> n = 6
      :: inFlight[7] -> n = 7
      :: inFlight[8] -> n = 8
      fi;
      inFlight[n] = false;
      if
#ifdef CHECKED
#ifdef BROKEN_NO_FENCING_CHECK
      :: n != lastOrder -> accept(n); fence = n
      :: n == lastOrder
#else
      :: n > fence -> accept(n); fence = n
      :: n <= fence
#endif
#else
      :: accept(n)
#endif
      :: true
      fi;
      n = 0
    }
  :: atomic { running != 0 -> printf("engine: order %d ends\n", running); running = 0 }
  :: atomic { /* crashes in the middle of a change */
      !engineCrashed ->
      engineCrashed = true;
      printf("engine: crashes\n");
      running = 0;
      lastOrder = 0;
#ifdef BROKEN_ENGINE_FORGETS_NUMBER
      fence = 0
#endif
    }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < INSTANCES ->
      life[i] = 1;
      registered[i] = 1;
      run Instance(i);
      run Log(i);
      i++
    :: else -> break
    od
  }
}
