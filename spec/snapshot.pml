/*
 * One query over two shards, each with a replica on both of two servers, while
 * the index advances twice, the second time to another number of partitions.
 * What is said and left out: snapshot.md. Each -D switch takes one rule away.
 */
/* Names of what must hold; the tests of the cores check the same (TestInvariantsAreCheckedOnTheCores). */
#define INVARIANT(name, holds) assert(holds)
#define VERSIONS 3
#define CUT 4                        /* stands for the version of a body that was cut off */
#define MAP_OF(v) (v == VERSIONS -> 2 : 1)
#define ATTEMPT(shard, server) (shard * 2 + server)

/* An attempt. An abandoned one may still run; what it returns is dropped. */
mtype = { unsent, pending, abandoned, refused, lost, taken };

/* The servers. Each holds its newest version and the one before. */
byte newest[2] = 1;
byte executions[2];                  /* of each shard: the record */
bool completed[10];                  /* shard * 5 + version: the record */
#define HOLDS(server, v) (v == newest[server] || v + 1 == newest[server])

/* The query at its gateway. */
bool repeatable;
byte map, pinned;
bool restarted;
mtype state[4] = unsent;
byte part[2];                        /* of each shard: the version of its part, 0 for none */
bool counted[2];                     /* counted as covered */

/* May the shard be asked at this server, given what became of the other replica? */
#define MAY_SEND(shard, server) (part[shard] == 0 && state[ATTEMPT(shard, server)] == unsent && \
	(repeatable || state[ATTEMPT(shard, 1 - server)] == unsent || state[ATTEMPT(shard, 1 - server)] == refused))

inline send(shard, server) {
	state[ATTEMPT(shard, server)] = pending;
#ifdef COVERED_WHEN_SENT
	counted[shard] = true
#endif
}

#ifdef ACCEPT_ANY_VERSION
#define ACCEPTS(v) (v != CUT)
#else
#ifdef TAKE_CUT_BODY
#define ACCEPTS(v) (v == pinned || v == CUT)
#else
#define ACCEPTS(v) (v == pinned)
#endif
#endif

inline execute(shard) {
	executions[shard]++;
	INVARIANT(AtMostOnce, repeatable || executions[shard] == 1);
	executions[shard] = (repeatable -> 0 : executions[shard])  /* of no interest, saves states */
}

/* The server runs an attempt and its reply arrives, with a part of a version. */
inline answer(shard, server, replied) {
	execute(shard);
	completed[shard * 5 + replied] = replied != CUT;
	if
	:: ACCEPTS(replied) ->
		state[ATTEMPT(shard, server)] = taken;
		part[shard] = replied;
		counted[shard] = true
	:: else -> state[ATTEMPT(shard, server)] = lost            /* it ran, but is no part */
	fi
}

#ifdef PARTITIONS_NOT_SENT
#define SAME_MAP true
#else
#define SAME_MAP (MAP_OF(pinned) == map)
#endif

#define IS(shard, server, now) (state[ATTEMPT(shard, server)] == now)
#define RUNS(shard, server) (IS(shard, server, pending) && HOLDS(server, pinned) && SAME_MAP)

#define STEPS(shard, server) \
	:: d_step { MAY_SEND(shard, server) -> send(shard, server) } \
	:: d_step { RUNS(shard, server) -> answer(shard, server, pinned) } \
	:: d_step { RUNS(shard, server) -> answer(shard, server, CUT) } \
	:: d_step { RUNS(shard, server) && newest[server] != pinned -> answer(shard, server, newest[server]) } \
	:: d_step { IS(shard, server, pending) -> state[ATTEMPT(shard, server)] = refused } \
	:: d_step { IS(shard, server, pending) -> state[ATTEMPT(shard, server)] = abandoned } \
	:: d_step { IS(shard, server, abandoned) && !repeatable -> execute(shard); state[ATTEMPT(shard, server)] = lost }

#define CLEAN(attempt) (state[attempt] == unsent || state[attempt] == refused)

/* The query moves to another version, once, and forgets what it has. */
inline restart(version) {
	restarted = true;
	pinned = version;
	state[0] = unsent; state[1] = unsent; state[2] = unsent; state[3] = unsent;
#ifndef KEEP_PARTS_AT_RESTART
	part[0] = 0; part[1] = 0;
	counted[0] = false; counted[1] = false
#endif
}

#ifdef RESTART_AFTER_RUN
#define MAY_RESTART (!restarted)
#else
#define MAY_RESTART (!restarted && (repeatable || (CLEAN(0) && CLEAN(1) && CLEAN(2) && CLEAN(3))))
#endif

inline check(shard) {
	INVARIANT(CoverageIsTrue, !counted[shard] || part[shard] != 0);
	INVARIANT(OneVersion, part[shard] == 0 || part[shard] == pinned);
	INVARIANT(OneShardMap, part[shard] == 0 || MAP_OF(part[shard]) == map);
	assert(part[shard] == 0 || completed[shard * 5 + part[shard]])
}

active proctype Gateway() {
	if :: repeatable = true :: repeatable = false fi;
	if :: map = 1 :: map = 2 fi;                               /* the accepted revision may lag */
	if :: pinned = 1 :: pinned = 2 :: pinned = 3 fi;           /* and so may what is known to be held */
	do
	STEPS(0, 0) STEPS(0, 1) STEPS(1, 0) STEPS(1, 1)
	:: d_step { MAY_RESTART && pinned > 1 -> restart(pinned - 1) }
	:: d_step { MAY_RESTART && pinned < VERSIONS -> restart(pinned + 1) }
	:: atomic { check(0); check(1); break }                    /* answers with what is there */
	od
}

active [2] proctype Server() {
end:	do
	:: newest[_pid - 1] < VERSIONS -> newest[_pid - 1]++
	od
}
