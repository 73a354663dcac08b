/*
 * One call that must run at most once. A caller repeats it under one key at
 * any instance; intents and results are records of the log.
 *
 * Rules follow packages/core/src/process/calls/fold_calls.ts. Each
 * -DBROKEN_... seeds one fault.
 */
#ifndef INSTANCES
#define INSTANCES 3
#endif
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 4
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 2
#endif
#define SLOTS 6 /* attempts 1 to 5; an intent has the number of its attempt */

mtype = { intent, done, unknown, givenUp };
mtype = { idle, waiting, admitted, sent, refused };

/* Folded state: the call's entry. */
byte open = 0;                 /* attempt whose intent won; 0 while the key is free */
byte openInstance = 0;
byte openLife = 0;
bool isDone = false;
bool isUnknown = false;

/* One append of each instance on its way. */
bool pending[INSTANCES];
mtype pendingKind[INSTANCES];
byte pendingAttempt[INSTANCES];
byte pendingLife[INSTANCES];

/* The instances; each handles one attempt at a time. */
byte life[INSTANCES];
byte attempt[INSTANCES];
mtype phase[INSTANCES] = idle;
byte crashes = 0;
byte attempts = 0;

/* The service, and what the caller was told. */
bool inFlight[SLOTS];          /* a dispatched call on its way */
bool answered[SLOTS];          /* its answer on its way back */
bool ran[SLOTS];
bool toldNotRun[SLOTS];
byte runs = 0;

/* ---- rules of the fold ---- */

#define isKeyFree (open == 0)
#define isOpen(a) (open == (a) && !isDone)

#ifdef BROKEN_OTHERS_GIVE_UP
#define isDispatcher(i) true
#else
/* Only the process that may dispatch knows that it never will. */
#define isDispatcher(i) (openInstance == i && openLife == pendingLife[i])
#endif

inline landRecord(i) {
  if
  :: pendingKind[i] == intent && isKeyFree ->
    open = pendingAttempt[i];
    printf("log: the intent of attempt %d is first\n", open);
    openInstance = i;
    openLife = pendingLife[i];
    isUnknown = false
  :: pendingKind[i] == done && isOpen(pendingAttempt[i]) ->
    printf("log: attempt %d is done\n", open);
    isDone = true
  :: pendingKind[i] == unknown && isOpen(pendingAttempt[i]) -> isUnknown = true
  :: pendingKind[i] == givenUp && isOpen(pendingAttempt[i]) &&
    isDispatcher(i) ->
    printf("log: attempt %d is given up\n", open);
    open = 0;
    openInstance = 0;
    openLife = 0;
    isUnknown = false
  :: else
  fi
}

inline appendRecord(i, k, a) {
  pending[i] = true;
  pendingKind[i] = k;
  pendingAttempt[i] = a;
  pendingLife[i] = life[i]
}

/* Appends land late, or never; the writer gets no answer it could trust. */
proctype Log(byte i) {
  do
  :: atomic {
      pending[i] ->
      if
      :: true -> landRecord(i)
      :: true
      fi;
      pending[i] = false;
      pendingKind[i] = 0;
      pendingAttempt[i] = 0;
      pendingLife[i] = 0
    }
  od
}

/* ---- an instance ---- */

#define isOwnOpen(i) \
  (!isDone && open == attempt[i] && openInstance == i && openLife == life[i])

#ifdef BROKEN_DISPATCH_BEFORE_INTENT
#define mayDispatch(i) (phase[i] == waiting)
#else
#define mayDispatch(i) (phase[i] == admitted)
#endif

inline finish(i) {
  phase[i] = idle;
  attempt[i] = 0
}

inline tellNotRun(i) {
  /* When a caller is told that a call was not run, it was not run. */
  assert(!ran[attempt[i]] && !inFlight[attempt[i]]);
  printf("%d says that attempt %d was not run\n", i, attempt[i]);
  toldNotRun[attempt[i]] = true
}

proctype Instance(byte i) {
  do
  :: atomic { /* takes an attempt whose key is free */
      phase[i] == idle && !pending[i] && isKeyFree && attempts < MAX_ATTEMPTS ->
      attempts++;
      attempt[i] = attempts;
      phase[i] = waiting;
      appendRecord(i, intent, attempt[i])
    }
  :: atomic { /* reads its intent back as the first */
      phase[i] == waiting && isOwnOpen(i) -> phase[i] = admitted
    }
  :: atomic { /* reads that another intent was first */
      phase[i] == waiting && !pending[i] && open != 0 && !isOwnOpen(i) ->
      finish(i)
    }
  :: atomic { /* gives up an append without an answer: not run */
      phase[i] == waiting ->
      tellNotRun(i);
      phase[i] = refused
    }
  :: atomic { /* stops before the dispatch, for instance by a deadline */
      phase[i] == admitted ->
      tellNotRun(i);
      phase[i] = refused
    }
  :: atomic { /* records that it gave up, so that the key is free again */
      phase[i] == refused && !pending[i] && isOwnOpen(i) ->
      appendRecord(i, givenUp, attempt[i])
    }
  :: atomic { /* its refused intent is gone */
      phase[i] == refused && !pending[i] && !isOwnOpen(i) -> finish(i)
    }
#ifdef BROKEN_DISPATCH_AFTER_REFUSAL
  :: atomic { phase[i] == refused && isOwnOpen(i) -> phase[i] = admitted }
#endif
  :: atomic { /* dispatches, once */
      mayDispatch(i) ->
      phase[i] = sent;
      printf("%d dispatches attempt %d\n", i, attempt[i]);
      inFlight[attempt[i]] = true
    }
  :: atomic { /* reads the service's answer */
      phase[i] == sent && answered[attempt[i]] && !pending[i] ->
      answered[attempt[i]] = false;
      assert(ran[attempt[i]]);
      appendRecord(i, done, attempt[i]);
      finish(i)
    }
  :: atomic { /* the service's answer is lost: unknown */
      phase[i] == sent && !pending[i] ->
      appendRecord(i, unknown, attempt[i]);
      finish(i)
    }
#ifdef BROKEN_OTHERS_GIVE_UP
  :: atomic { /* takes an intent without a result for abandoned */
      phase[i] == idle && !pending[i] && open != 0 && !isDone ->
      appendRecord(i, givenUp, open)
    }
#endif
#ifdef BROKEN_REDISPATCH_AFTER_RESTART
  :: atomic { /* takes over the intent of its earlier life */
      phase[i] == idle && open != 0 && !isDone && openInstance == i &&
      openLife < life[i] ->
      attempt[i] = open;
      phase[i] = admitted
    }
#endif
  :: atomic { /* crashes; what it has sent stays on its way */
      crashes < MAX_CRASHES ->
      crashes++;
      printf("%d crashes\n", i);
      life[i]++;
      finish(i)
    }
  od
}

/* ---- the service ---- */

proctype Service(byte a) {
  do
  :: atomic {
      inFlight[a] ->
      inFlight[a] = false;
      if
      :: true ->
        printf("service: attempt %d runs\n", a);
#ifdef REACHED
        /* Fails in a sound model: a repeat runs after a refusal. */
        assert(!(toldNotRun[1] && a == 2));
#endif
        /* A call that must not repeat runs at most once. */
        assert(runs == 0);
        assert(!toldNotRun[a]);
        runs++;
        ran[a] = true;
        answered[a] = true
      :: true
      fi
    }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < INSTANCES ->
      run Instance(i);
      run Log(i);
      i++
    :: else -> break
    od;
    i = 1;
    do
    :: i <= MAX_ATTEMPTS -> run Service(i); i++
    :: else -> break
    od
  }
}
