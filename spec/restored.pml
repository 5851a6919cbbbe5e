/*
 * A store that comes back from copies, with one configuration, and two nodes that keep it
 * current from the store and from each other. What is said and left out: restored.md. Each -D
 * switch takes one rule away.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define VERSIONS 3
#define OTHERS 2
#define RESTORES 2

/* The store: its era and counter, the configuration with the number of its last change, and a copy. */
byte era = 1, number = 1, version = 1, changedAt = 1;
byte copyNumber = 1, copyVersion = 1, copyChangedAt = 1;
byte said = 1;                       /* the operators' last version */
byte others;                         /* writes of other objects */

/* What each node knows, and the list that it has under way. */
byte knownEra[2], knownNumber[2], inForce[2], takenAt[2];
bool asked[2];
byte listedEra[2], listedNumber[2], listedVersion[2], listedAt[2];

#ifdef FORGET_ERA
#define NEWER(node, e, n) (n >= knownNumber[node])
#define FOLLOWS(node) true
#else
#define NEWER(node, e, n) (e > knownEra[node] || e == knownEra[node] && n >= knownNumber[node])
#define FOLLOWS(node) (knownEra[node] == era)
#endif

#ifdef CHANGES_ACROSS_ERAS
#define WHOLE(node) false
#else
#define WHOLE(node) (knownEra[node] != knownEra[1 - node])
#endif

#ifdef TAKE_STATE
#define ADOPTS(node, newer) true
#else
#define ADOPTS(node, newer) (newer > inForce[node])
#endif

inline adopt(node, newer) {
	if
	:: ADOPTS(node, newer) ->
		INVARIANT(NodesAgreeWithRestoredStore, newer >= inForce[node]);
		inForce[node] = newer
	:: else -> skip
	fi
}

proctype Node(byte node) {
end:	do
	/* A list is asked for where a watch can't go on, and may be late. */
	:: d_step { !asked[node] && (knownEra[node] != era || knownNumber[node] > number) ->
			asked[node] = true;
			listedEra[node] = era; listedNumber[node] = number;
			listedVersion[node] = version; listedAt[node] = changedAt }
	:: d_step { asked[node] ->
			asked[node] = false;
			if
			:: NEWER(node, listedEra[node], listedNumber[node]) ->
				adopt(node, listedVersion[node]);
				knownEra[node] = listedEra[node]; knownNumber[node] = listedNumber[node]; takenAt[node] = listedAt[node]
			:: else -> skip
			fi }
	/* A watch tells what has changed after the known number. */
	:: d_step { FOLLOWS(node) && knownNumber[node] > 0 && knownNumber[node] < number ->
			if
			:: changedAt > knownNumber[node] -> adopt(node, version); takenAt[node] = changedAt
			:: else -> skip
			fi;
			knownEra[node] = era; knownNumber[node] = number }
	/* Another node tells its whole state, or what has changed after the known number. */
	:: d_step { knownNumber[node] > 0 && knownNumber[1 - node] > 0 &&
			(knownEra[1 - node] != knownEra[node] || knownNumber[1 - node] != knownNumber[node]) &&
			NEWER(node, knownEra[1 - node], knownNumber[1 - node]) ->
			if
			:: WHOLE(node) || takenAt[1 - node] > knownNumber[node] -> adopt(node, inForce[1 - node]); takenAt[node] = takenAt[1 - node]
			:: else -> skip
			fi;
			knownEra[node] = knownEra[1 - node]; knownNumber[node] = knownNumber[1 - node] }
	od
}

active proctype World() {
	byte restores;
	atomic { run Node(0); run Node(1) };
	do
	:: d_step { said < VERSIONS -> said++; number++; version = said; changedAt = number }
	:: d_step { others < OTHERS -> others++; number++ }
	:: d_step { copyNumber = number; copyVersion = version; copyChangedAt = changedAt }
	:: d_step { restores < RESTORES ->
			restores++; era++;
			number = copyNumber; version = copyVersion; changedAt = copyChangedAt }
	:: break
	od;
	/* What the operators wrote is written again. */
	if
	:: version < said -> d_step { number++; version = said; changedAt = number }
	:: else -> skip
	fi;
	timeout;
	INVARIANT(NodesAgreeWithRestoredStore, inForce[0] == said && inForce[1] == said)
}
