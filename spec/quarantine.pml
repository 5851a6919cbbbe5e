/*
 * Requests under which servers crash: one that crashes them and two harmless ones, on one server
 * that runs several at a time and restarts. What is said and left out: quarantine.md. Each -D
 * switch takes one rule away.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define DIGESTS 3
#define BAD 0                        /* the digest that crashes servers */
#define MAX_CRASHES 7
#define MIN_CRASHES 3                /* minCrashedServers */
#define MIN_FAILED 2                 /* minFailedTrials */
#define MISHAPS 2                    /* sends of nodes that do not know the record, nodes that die */

#define BIT(d) (1 << (d))
#define IN(set, d) (((set) >> (d)) & 1)

bool up = true;
byte running;                        /* digests in flight on the server */
byte trying;                         /* those of them that are trials */
byte suspected;                      /* digests with a record */
byte failed;                         /* digests of which a trial has failed */
byte quarantined;
byte lock = DIGESTS;                 /* the holder of the lock; DIGESTS if it is free */
byte mishaps;

/* For each crash, the digests whose records list it, and those whose trials failed in it. */
byte crashes;
byte listed[MAX_CRASHES], failedIn[MAX_CRASHES];

/* Scratch variables of d_steps. */
byte i, j, k, own, others, attributed;
bool contested;

#ifdef TRIALS_ALONE_CONTEST
#define CONTESTS(crash, digest) IN(failedIn[crash], digest)
#else
#define CONTESTS(crash, digest) IN(listed[crash], digest)
#endif

#ifdef FEWER_CRASHES_CONTEST
#define EXPLAINS true
#else
#ifdef EQUAL_CRASHES_DO_NOT_CONTEST
#define EXPLAINS (others > own)
#else
#define EXPLAINS (others >= own)
#endif
#endif

#ifdef NO_LOCK
#define NEEDS_LOCK(d) false
#else
#define NEEDS_LOCK(d) IN(failed, d)
#endif

/* Sets count to the number of crashes that the record of a digest lists. */
inline countCrashes(digest, count) {
	count = 0;
	for (k : 0 .. MAX_CRASHES - 1) {
		count = count + IN(listed[k], digest)
	}
}

/* Sets contested to whether another digest explains a crash under a trial of digest i. */
inline evaluateCrash(crash) {
	contested = false;
	for (j : 0 .. DIGESTS - 1) {
		if
		:: j != i && CONTESTS(crash, j) ->
			countCrashes(j, others);
			contested = contested || EXPLAINS
		:: else
		fi
	}
#ifdef SHARED_CRASH_COUNTS
	contested = false
#endif
}

/* Quarantines the digests to which enough failed trials are attributed. */
inline evaluate() {
	for (i : 0 .. DIGESTS - 1) {
		countCrashes(i, own);
		attributed = 0;
		for (crash : 0 .. MAX_CRASHES - 1) {
			if
			:: IN(failedIn[crash], i) ->
				evaluateCrash(crash);
				attributed = attributed + (contested -> 0 : 1)
			:: else
			fi
		}
		if
		:: own >= MIN_CRASHES && attributed >= MIN_FAILED -> quarantined = quarantined | BIT(i)
		:: else -> quarantined = quarantined & ~BIT(i)
		fi
	}
	INVARIANT(HarmlessNeverRefused, (quarantined & ~BIT(BAD)) == 0)
}

inline release(d) {
	if
	:: lock == d -> lock = DIGESTS
	:: else
	fi
}

inline begin(d, isTrial) {
	running = running | BIT(d);
	trying = trying | (isTrial << d)
}

inline finish(d) {
	running = running & ~BIT(d);
	trying = trying & ~BIT(d);
	release(d)
}

/* The server crashes under all digests in flight. */
inline crashServer() {
	INVARIANT(CrashesAreBounded, crashes < MAX_CRASHES);
	listed[crashes] = running;
	failedIn[crashes] = trying;
	suspected = suspected | running;
	failed = failed | trying;
	crashes++;
	running = 0;
	trying = 0;
	lock = DIGESTS;
	up = false;
	evaluate()
}

/* A server answers a digest: its record is removed. */
inline answer(d) {
	finish(d);
	suspected = suspected & ~BIT(d);
	failed = failed & ~BIT(d);
	for (i : 0 .. MAX_CRASHES - 1) {
		listed[i] = listed[i] & ~BIT(d);
		failedIn[i] = failedIn[i] & ~BIT(d)
	}
	evaluate()
}

active [DIGESTS] proctype request() {
	byte crash;
	do
	:: IN(quarantined, _pid) -> break
	:: d_step { up && !IN(running, _pid) && !IN(suspected, _pid) && !IN(quarantined, _pid) -> begin(_pid, 0) }
	:: d_step { up && !IN(running, _pid) && IN(suspected, _pid) && !IN(quarantined, _pid) && !NEEDS_LOCK(_pid) -> begin(_pid, 1) }
	:: d_step { up && !IN(running, _pid) && IN(suspected, _pid) && !IN(quarantined, _pid) && NEEDS_LOCK(_pid) && lock == DIGESTS ->
		lock = _pid;
		begin(_pid, 1) }
	/* A node that does not know the record sends it. */
	:: d_step { up && !IN(running, _pid) && IN(suspected, _pid) && mishaps < MISHAPS ->
		mishaps++;
		begin(_pid, 0) }
	/* The node dies, and with it what it knows; the lock ends with its lease. */
	:: d_step { IN(running, _pid) && mishaps < MISHAPS ->
		mishaps++;
		finish(_pid) }
#ifdef CRASH_IS_LOST
	/* The node dies before it has told that the server crashed under its trial. */
	:: d_step { IN(running, _pid) && mishaps < MISHAPS && _pid == BAD ->
		mishaps++;
		finish(_pid);
		crashServer() }
#endif
	:: d_step { IN(running, _pid) && _pid == BAD -> crashServer() }
	:: d_step { IN(running, _pid) && _pid != BAD -> answer(_pid) }
	od
}

active proctype server() {
end:
	do
	:: !up -> up = true
	od
}
