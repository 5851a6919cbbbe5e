/*
 * One order of a roll-out: its object in the store, and two nodes that expose the
 * version and decide. What is said and left out: rollout.md. Each -D switch takes one
 * rule away.
 *
 * A write is on its way for any time, takes effect or is lost; its writer learns of
 * neither. A node that takes no step is paused, cut off or dead.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define GRANT 2                      /* ticks for which what a node knows of orders lets it expose */
#define RUNNING 0
#define COMPLETED 1
#define ROLLED_BACK 2
#define WHOLE 2                      /* the last stage; 0 exposes nothing */

/* The store's object. */
byte revision = 1, state, stage;

bool bad;                            /* the version */
bool shown;                          /* ghost: an answer has shown that */
byte shownFor;                       /* ghost: ticks since then, at most 1 */
byte rolledBackFor;                  /* ghost: ticks since the store says so */

/* What each node knows: nothing while the revision is 0. */
byte knownRevision[2], knownState[2], knownStage[2], age[2];
bool pooled[2];                      /* the evidence that it has pooled shows a bad version */
byte poolAge[2] = 1;                 /* 0: pooled in this tick */

/* The write that each node has under way. */
bool writing[2];
byte condition[2], newState[2], newStage[2];

#ifdef WRITE_WITHOUT_CONDITION
#define HOLDS(node) true
#else
#define HOLDS(node) (revision == condition[node])
#endif

#ifdef GRANT_WITHOUT_END
#define GRANTED(node) true
#else
#define GRANTED(node) (age[node] <= GRANT)
#endif

#ifdef OLD_EVIDENCE
#define CURRENT(node) true
#else
#define CURRENT(node) (poolAge[node] == 0)
#endif

#define RUNS(node) (knownRevision[node] != 0 && knownState[node] == RUNNING)

#ifdef EXPOSE_BEFORE_ORDERS
#define MAY_EXPOSE(node) (knownRevision[node] == 0 || RUNS(node) && knownStage[node] > 0 && GRANTED(node))
#else
#define MAY_EXPOSE(node) (RUNS(node) && knownStage[node] > 0 && GRANTED(node))
#endif

inline write(node, toState, toStage) {
	writing[node] = true;
	condition[node] = knownRevision[node];
	newState[node] = toState;
	newStage[node] = toStage
}

proctype Node(byte node) {
end:	do
	:: d_step { knownRevision[node] = revision; knownState[node] = state; knownStage[node] = stage; age[node] = 0 }
	:: d_step { pooled[node] = shown; poolAge[node] = 0 }
	:: d_step { MAY_EXPOSE(node) ->
			INVARIANT(ExposureEnds, state != ROLLED_BACK || rolledBackFor <= GRANT);
			shown = shown || bad }
	:: d_step { RUNS(node) && !writing[node] && CURRENT(node) && !pooled[node] ->
			INVARIANT(EvidenceIsCurrent, !shown || shownFor == 0);
			if
			:: knownStage[node] < WHOLE -> write(node, RUNNING, knownStage[node] + 1)
			:: else -> write(node, COMPLETED, WHOLE)
			fi }
	:: d_step { RUNS(node) && !writing[node] && pooled[node] -> write(node, ROLLED_BACK, knownStage[node]) }
	:: d_step { writing[node] && HOLDS(node) && revision < 6 ->
			INVARIANT(EndedOrderStaysEnded, state == RUNNING);
			revision++;
			state = newState[node];
			stage = newStage[node];
			rolledBackFor = 0;
			writing[node] = false }
	:: d_step { writing[node] -> writing[node] = false }                        /* lost, or its condition does not hold */
	:: d_step { knownRevision[node] = 0; pooled[node] = false; poolAge[node] = 1 }   /* a new process */
	od
}

#define OLDER(value, most) value = (value < most -> value + 1 : value)

active proctype Clock() {
	if :: bad = true :: bad = false fi;
	atomic { run Node(0); run Node(1) };
end:	do
	:: d_step {
		OLDER(age[0], GRANT + 1); OLDER(age[1], GRANT + 1);
		OLDER(poolAge[0], 1); OLDER(poolAge[1], 1);
		if :: shown -> shownFor = 1 :: else -> skip fi;
		if :: state == ROLLED_BACK -> OLDER(rolledBackFor, GRANT + 1) :: else -> skip fi }
	od
}
