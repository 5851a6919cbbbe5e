/*
 * Three nodes of a region, of which the first reads the store for the others, in rounds. The store
 * fails and lags, nodes end and start, or lose their way to the store, some of them for good. What is
 * said and left out: followers.md. Each -D switch takes one rule away.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define NODES 3
#define TROUBLES 4
#define REVISIONS 3
#define OLD 2                        /* rounds after which what was heard is of no use to others */
#define SILENT 2                     /* rounds for which a node without an answer is not asked */
#define REFUSED 1                    /* rounds for which one that knows nothing recent is not */
#define FAILED 2                     /* rounds for which a node prefers others after a failed call */
#define RECOVERY 5                   /* rounds within which all know the latest revision */
#define CALM 7                       /* rounds after which one node reads for all */
#define NONE NODES

/* The store, and who has no way to it; some node always has one. */
bool up = true, lags, cut[NODES];
byte revision = 1;
#define CUT (cut[0] + cut[1] + cut[2])

/* The nodes: what each knows, and how long ago the store told it. */
bool alive[NODES] = true;
byte known[NODES], age[NODES] = OLD, failing[NODES];
byte avoided[9];                     /* node * NODES + other: rounds left */
byte preferred[NODES] = NONE;        /* one that was found in touch */
bool done[NODES];                    /* in this round */

byte troubles, calm, calls;
byte other, told;

#define FREE(node, which) (which != node && avoided[node * NODES + which] == 0)
#define TOLD (lags && revision > 1 -> revision - 1 : revision)

#ifdef TAKE_OLDER
#define TAKES(node, newer) true
#else
#define TAKES(node, newer) (newer >= known[node])
#endif

#ifdef FOLLOW_STALE
#define RECENT(which) (known[which] > 0)
#else
#define RECENT(which) (known[which] > 0 && age[which] < OLD)
#endif

#ifdef AGE_BEGINS_ANEW
#define AGE_OF(which) 0
#else
#define AGE_OF(which) age[which]
#endif

inline take(node, newer, since) {
	INVARIANT(OutdatedListIsRejected, newer >= known[node]);
	known[node] = newer;
	age[node] = since
}

/* A node that starts, or gets no answer of the store, may ask any other one. */
#define ASKS_ANY(node) (known[node] == 0 || failing[node] > 0)

#ifdef NO_SEARCH
#define IN_TOUCH(which) false
#else
#define IN_TOUCH(which) (alive[which] && known[which] > 0 && age[which] < OLD)
#endif

/* A node that has heard nothing for long asks all others, one after the other, whether they have. */
inline search(node) {
	if
	:: ASKS_ANY(node) && age[node] == OLD && node != 0 && IN_TOUCH(0) -> preferred[node] = 0
	:: ASKS_ANY(node) && age[node] == OLD && node != 1 && IN_TOUCH(1) -> preferred[node] = 1
	:: ASKS_ANY(node) && age[node] == OLD && node != 2 && IN_TOUCH(2) -> preferred[node] = 2
	:: else -> skip
	fi
}

/* The other node, found or else by the common order, that this one asks; NONE for the store. */
#define FOUND(node) (preferred[node] != NONE && avoided[node * NODES + preferred[node]] == 0)
#define IN_ORDER(node) (ASKS_ANY(node) && !FOUND(node))
inline pick(node) {
	other = NONE;
	if
	:: ASKS_ANY(node) && FOUND(node) -> other = preferred[node]
	:: IN_ORDER(node) && FREE(node, 0) -> other = 0
	:: IN_ORDER(node) && !FREE(node, 0) && FREE(node, 1) -> other = 1
	:: IN_ORDER(node) && !FREE(node, 0) && !FREE(node, 1) && FREE(node, 2) -> other = 2
	:: !ASKS_ANY(node) && node > 0 && FREE(node, 0) -> other = 0
	:: !ASKS_ANY(node) && node > 1 && !FREE(node, 0) && FREE(node, 1) -> other = 1
	:: else -> skip
	fi
}

inline ask(node) {
	if
	:: !alive[other] -> avoided[node * NODES + other] = SILENT; other = NONE
	:: alive[other] && RECENT(other) && TAKES(node, known[other]) -> take(node, known[other], AGE_OF(other))
	:: else -> avoided[node * NODES + other] = REFUSED; other = NONE
	fi
}

inline call(node) {
	calls++;
	told = TOLD;
	if
	:: !up || cut[node] -> failing[node] = FAILED
	:: up && !cut[node] && TAKES(node, told) -> take(node, told, 0); failing[node] = 0
	:: else -> failing[node] = 0
	fi
}

#ifdef NO_CALL_OF_ITS_OWN
#define CALLS(node) (node == 0 || known[node] == 0)
#else
#define CALLS(node) true
#endif

inline step(node) {
	done[node] = true;
	if
	:: alive[node] ->
		search(node);
		pick(node);
		if
		:: other != NONE -> ask(node)
		:: else -> skip
		fi;
		if
		:: other == NONE && CALLS(node) -> call(node)
		:: else -> skip
		fi
	:: else -> skip
	fi;
	other = 0; told = 0
}

#define LESS(value) (value > 0 -> value - 1 : 0)
#ifdef AVOID_FOR_EVER
#define FADES(value) value
#else
#define FADES(value) LESS(value)
#endif
#define MORE(value, most) (value < most -> value + 1 : most)

inline pass(node) {
	done[node] = false;
	age[node] = MORE(age[node], OLD);
	failing[node] = LESS(failing[node]);
	avoided[node * NODES] = FADES(avoided[node * NODES]);
	avoided[node * NODES + 1] = FADES(avoided[node * NODES + 1]);
	avoided[node * NODES + 2] = FADES(avoided[node * NODES + 2])
}

/* The end of a round. */
inline tick() {
	INVARIANT(NodesRecoverSoonAfterPartition, calm < RECOVERY || known[0] == revision && known[1] == revision && known[2] == revision);
	INVARIANT(FewNodesReadTheStore, calm < CALM || CUT > 0 || calls <= 1);
	pass(0); pass(1); pass(2);
	calls = 0;
	calm = (calm > 0 -> MORE(calm, CALM + 1) : 0)
}

inline flip(node) {
	troubles++;
	alive[node] = !alive[node];
	known[node] = 0; age[node] = OLD; failing[node] = 0; preferred[node] = NONE;
	avoided[node * NODES] = 0; avoided[node * NODES + 1] = 0; avoided[node * NODES + 2] = 0
}

#define TROUBLE (calm == 0 && troubles < TROUBLES)

active proctype World() {
	do
	:: d_step { !done[0] -> step(0) }
	:: d_step { !done[1] -> step(1) }
	:: d_step { !done[2] -> step(2) }
	:: d_step { done[0] && done[1] && done[2] -> tick() }
	:: d_step { TROUBLE -> troubles++; up = !up }
	:: d_step { TROUBLE -> troubles++; lags = !lags }
	:: d_step { TROUBLE && revision < REVISIONS -> troubles++; revision++ }
	:: d_step { TROUBLE -> troubles++; cut[0] = !cut[0] }
	:: d_step { TROUBLE -> troubles++; cut[1] = !cut[1] }
	:: d_step { TROUBLE -> troubles++; cut[2] = !cut[2] }
	:: d_step { TROUBLE -> flip(0) }
	:: d_step { TROUBLE -> flip(1) }
	:: d_step { TROUBLE -> flip(2) }
	:: d_step { calm == 0 && CUT < NODES ->                                   /* the troubles end */
			calm = 1; troubles = 0; up = true; lags = false; revision++;
			alive[0] = true; alive[1] = true; alive[2] = true }
	:: calm > CALM -> break
	od
}
