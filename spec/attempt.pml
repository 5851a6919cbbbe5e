/*
 * One query for one shard: a gateway, owners, a back-end server. What is said
 * and left out: attempt.md. Each -D switch takes one rule of the design away.
 *
 * Messages are sets: one that was sent may arrive late, twice, in any order or
 * never. A crash is a process that takes no further step, a freeze one that
 * takes its next step late; both are in every interleaving.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define ATTEMPTS 3

mtype = { unsent, pending, refused, lost, answered };      /* at the gateway */
mtype = { idle, queued, written, closed };                 /* at the owner */
mtype = { undecided, notRun, mayHaveRun, ran };            /* verdicts */

bool repeatable;                   /* chosen at the start */
byte executions;                   /* the back end's record */
mtype verdict = undecided;         /* what the caller was told */

mtype state[ATTEMPTS] = unsent;
mtype held[ATTEMPTS] = idle;
bool requested[ATTEMPTS], canceled[ATTEMPTS];              /* gateway to owner */
bool ownerRefused[ATTEMPTS], ownerAnswered[ATTEMPTS];      /* owner to gateway */
bool arrived[ATTEMPTS];                                    /* owner to server */
bool serverRefused[ATTEMPTS], serverAnswered[ATTEMPTS];    /* server to owner */

/* Query.maySend: is there a reason why no further attempt may be sent? */
inline decideSend(allowed) {
	allowed = next < ATTEMPTS;
	i = 0;
	do
	:: i < next ->
		if
		:: state[i] == answered -> allowed = false
#ifndef RETRY_LOST
		:: !repeatable && state[i] == lost -> allowed = false
#endif
#ifndef HEDGE_NOT_REPEATABLE
		:: !repeatable && state[i] == pending -> allowed = false
#endif
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* The verdicts of all attempts joined: one that may have run forbids notRun. */
inline join() {
	verdict = notRun;
	i = 0;
	do
	:: i < next ->
		if
		:: state[i] == answered -> verdict = ran
		:: state[i] == lost && verdict == notRun -> verdict = mayHaveRun
#ifndef GIVE_UP_IS_NOT_RUN
		:: state[i] == pending && verdict == notRun -> verdict = mayHaveRun
#endif
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

#ifdef REPLY_WITHOUT_ATTEMPT_ID
#define FROM_OWNER(reply, n) (reply[0] || reply[1] || reply[2])
#else
#define FROM_OWNER(reply, n) (reply[n])
#endif

/* What happens to attempt n at the gateway. Only a pending one takes a reply. */
#define STEPS(n) \
	:: atomic { state[n] == pending && FROM_OWNER(ownerRefused, n) -> state[n] = refused } \
	:: atomic { state[n] == pending && FROM_OWNER(ownerAnswered, n) -> state[n] = answered } \
	:: atomic { state[n] == pending -> state[n] = lost } \
	:: atomic { state[n] == pending && !canceled[n] -> canceled[n] = true }

active proctype Gateway() {
	byte next, i;
	bool allowed;

	if
	:: repeatable = true
	:: repeatable = false
	fi;
	do
	:: atomic { decideSend(allowed);
		if
		:: allowed -> state[next] = pending; requested[next] = true; next++
		:: allowed -> state[next] = refused; next++        /* no connection: nothing was written */
		:: else -> skip
		fi;
		allowed = false }
	STEPS(0)
	STEPS(1)
	STEPS(2)
	:: d_step { join(); INVARIANT(NotRunIsTrue, verdict != notRun || executions == 0) }; break
	od
}

#ifdef REPLY_WITHOUT_REQUEST_ID
#define FROM_SERVER(reply, n) (reply[0] || reply[1] || reply[2])
#else
#define FROM_SERVER(reply, n) (reply[n])
#endif

/* An owner and attempt n. Attempts of one owner and of two differ in nothing here. */
proctype Owner(byte n) {
end:	do
	:: d_step { requested[n] && held[n] == idle -> held[n] = queued }
	:: d_step { held[n] == queued -> held[n] = written; arrived[n] = true }
	:: d_step { held[n] == queued ->                       /* full, expired, draining */
#ifndef EXPIRED_STILL_SENT
		held[n] = closed;
#endif
		ownerRefused[n] = true }
	:: d_step { canceled[n] && held[n] == queued ->
#ifndef CANCELED_STAYS_QUEUED
		held[n] = closed;
#endif
		ownerRefused[n] = true }
	:: d_step { canceled[n] && held[n] == written ->       /* closes the connection */
#ifdef CANCELED_IS_NOT_RUN
		ownerRefused[n] = true;
#endif
		held[n] = closed }
	:: d_step { held[n] == written && FROM_SERVER(serverRefused, n) -> held[n] = closed; ownerRefused[n] = true }
	:: d_step { held[n] == written && FROM_SERVER(serverAnswered, n) -> held[n] = closed; ownerAnswered[n] = true }
	:: d_step { held[n] == written ->                      /* the connection fails */
#ifdef LOST_IS_NOT_RUN
		ownerRefused[n] = true;
#endif
		held[n] = closed }
#ifdef CLIENT_RETRIES
	:: d_step { held[n] == written && !arrived[n] -> arrived[n] = true }
#endif
	od
}

proctype Server(byte n) {
end:	do
	:: d_step { arrived[n] -> arrived[n] = false; serverRefused[n] = true }   /* shed */
	:: atomic { arrived[n] -> arrived[n] = false;
		executions++;
		INVARIANT(AtMostOnce, repeatable || executions == 1);
		INVARIANT(NotRunIsTrue, verdict != notRun);        /* nothing runs after notRun was said */
		if
		:: serverAnswered[n] = true
		:: skip                                            /* it died, or the reply was lost */
		fi }
	:: d_step { arrived[n] -> arrived[n] = false }             /* it died before */
	od
}

init { atomic { run Owner(0); run Owner(1); run Owner(2); run Server(0); run Server(1); run Server(2) } }
