/*
 * One QueryService: two operators, the store, two controllers, two nodes. What
 * is said and left out: configuration.md. Each -D switch takes one rule away.
 *
 * Every access to the store is atomic there; its reply may be lost. Any time may
 * pass before the next step of a process: a pause, a restart or an outage.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define ACQUISITIONS 2               /* of the lease: a first one, and one after a lapse */
#define TERM 3                       /* revision = epoch * TERM + counter within the epoch */
#define REVISIONS 12
#define DELETED 2                    /* the change of the second operator deletes the service */
#define BOTH 3

/* The store. A spec is the set of the operators' changes in it. */
byte version, spec;                  /* resourceVersion and spec */
byte accepted, acceptedSpec;         /* status.accepted */
byte epoch;                          /* of the lease */
byte specAcceptedAs[REVISIONS];      /* ghost: what was accepted under a revision */

/* The nodes. */
byte revision[2], specOf[2];
byte highest[2];                     /* ghost: the highest revision since the start of the node */
byte inForce;                        /* ghost: the highest revision that both had at a time */
bool serving[2] = true;
bool restarted[2];

/* Pushes are sets: one that was sent may arrive late, twice, in any order or never. */
bool sent[24];                       /* to node * REVISIONS + revision */
byte sentSpec[REVISIONS];

proctype Operator(byte change) {
	byte readVersion, readSpec;
	bool reply;

read:	atomic { readVersion = version; readSpec = spec; reply = false };
	if
#ifndef OPERATOR_DOES_NOT_READ
	:: readSpec & change -> goto done         /* its write took effect, the reply was lost */
#endif
	:: else -> skip
	fi;
	d_step {
		if
#ifdef OPERATOR_WITHOUT_VERSION
		:: true ->
#else
		:: version == readVersion ->
#endif
			assert(!(spec & change));         /* every change is made once */
			spec = readSpec | change;
			version++;
			reply = true
		:: else -> skip                       /* 409: read again */
		fi };
	if
	:: reply -> skip
	:: true -> goto read                          /* refused, or the reply was lost */
	fi;
done:	skip
}

#define SPREAD(r) (sent[r] || sent[REVISIONS + r])

inline push(node, pushed, content) {
	d_step { sentSpec[pushed] = content; sent[node * REVISIONS + pushed] = true }
}

proctype Controller() {
	byte mine, readVersion, readSpec, readAccepted, readAcceptedSpec, next;
	bool written;

end:	do
	:: d_step { mine == 0 && epoch < ACQUISITIONS -> epoch++; mine = epoch }     /* free, or lapsed while its holder was paused */
	:: d_step { mine != 0 && epoch != mine -> mine = 0 }                         /* the renewal fails */
	:: d_step { mine != 0 && (spec != acceptedSpec || (accepted != 0 && !SPREAD(accepted))) ->
			readVersion = version; readSpec = spec;
			readAccepted = accepted; readAcceptedSpec = acceptedSpec };
		if
#ifndef REVISION_IGNORES_ACCEPTED
		:: readAccepted / TERM > mine -> mine = 0                            /* a later holder was here */
		:: readAccepted / TERM == mine -> next = readAccepted + 1
		:: readAccepted / TERM < mine -> next = mine * TERM + 1
#else
		:: next = mine * TERM + 1
#endif
		fi;
		if
		:: mine != 0 && readSpec != readAcceptedSpec ->
#ifdef SPREAD_BEFORE_CONFIRMED
			push(0, next, readSpec);
#endif
			d_step {
				if
#ifdef STATUS_WITHOUT_VERSION
				:: true ->
#else
				:: version == readVersion ->
#endif
					INVARIANT(RevisionsAlwaysIncrease, next > accepted);
					accepted = next; acceptedSpec = readSpec;
					specAcceptedAs[next] = readSpec;
					version++
				:: else -> skip
				fi }                                         /* whatever the reply: read again */
		:: mine != 0 && readSpec == readAcceptedSpec -> push(0, readAccepted, readAcceptedSpec)
		:: mine != 0 && readSpec == readAcceptedSpec -> push(1, readAccepted, readAcceptedSpec)
		:: mine == 0 -> skip
		fi;
		d_step { readVersion = 0; readSpec = 0; readAccepted = 0; readAcceptedSpec = 0; next = 0 }
	od
}

/* What both nodes had in force is never undercut by one that serves. */
inline checkInForce() {
	if
	:: serving[0] && serving[1] && revision[0] > inForce && revision[1] > inForce ->
		inForce = (revision[0] < revision[1] -> revision[0] : revision[1])
	:: else -> skip
	fi;
	assert(!serving[0] || highest[0] >= inForce);
	assert(!serving[1] || highest[1] >= inForce)
}

inline apply(node, received, content) {
	assert(content == specAcceptedAs[received]);  /* only what was accepted */
	INVARIANT(SetRevisionsNeverDecrease, received > highest[node]);
	revision[node] = received; specOf[node] = content; highest[node] = received;
#ifdef FORGET_TOMBSTONE
	if
	:: content & DELETED -> revision[node] = 0
	:: else -> skip
	fi;
#endif
	checkInForce()
}

#ifdef APPLY_LAST_RECEIVED
#define NEWER(r, n) (r != revision[n])
#else
#define NEWER(r, n) (r > revision[n])
#endif

#define RECEIVE(r) :: d_step { sent[n * REVISIONS + r] && NEWER(r, n) -> apply(n, r, sentSpec[r]) }

proctype Node(byte n) {
end:	do
	RECEIVE(4) RECEIVE(5) RECEIVE(7) RECEIVE(8) RECEIVE(10) RECEIVE(11)
#ifndef NO_DIGESTS
	:: d_step { serving[1 - n] && revision[1 - n] > revision[n] -> apply(n, revision[1 - n], specOf[1 - n]) }
#endif
	:: d_step { !restarted[n] -> restarted[n] = true;          /* a restart forgets everything */
		revision[n] = 0; specOf[n] = 0; highest[n] = 0;
#ifndef SERVE_BEFORE_SYNC
		serving[n] = false
#else
		checkInForce()
#endif
		}
	:: d_step { !serving[n] && serving[1 - n] ->               /* members are the source */
		if
		:: revision[1 - n] > revision[n] -> apply(n, revision[1 - n], specOf[1 - n])
		:: else -> skip
		fi;
		serving[n] = true; checkInForce() }
	:: d_step { !serving[n] && !serving[1 - n] ->              /* no member serves: the store is */
		if
		:: accepted > revision[n] -> apply(n, accepted, acceptedSpec)
		:: else -> skip
		fi;
		serving[n] = true; checkInForce() }
	od
}

/* When nothing more can happen, all are equal and hold both changes. */
proctype Monitor() {
	timeout -> assert(spec == BOTH && acceptedSpec == BOTH);
	assert(serving[0] && serving[1]);
	INVARIANT(SetsConverge, highest[0] == accepted && highest[1] == accepted)
}

init {
	atomic {
		run Operator(1); run Operator(DELETED);
		run Controller(); run Controller();
		run Node(0); run Node(1); run Monitor()
	}
}
