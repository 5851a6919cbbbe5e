package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// backupInterval is the time between two backups of the store, maxBackups the number kept.
	backupInterval = 500 * time.Millisecond
	maxBackups     = 40
	// maxStoreOutage is the longest outage of the store before it is restored.
	maxStoreOutage = 5 * time.Second
	// serversRewriteWithin and operatorRewritesWithin limit the time from the restore until the
	// servers, and the operator, have rewritten what was lost.
	serversRewriteWithin   = 2 * time.Second
	operatorRewritesWithin = 3 * time.Second
)

// Guards against the effects of a store restored from a backup, combined with other faults:
// responses that no server sent, lost requests, exposure to bad versions, and nodes that do not
// serve the newest configuration.
func TestSoakWithARestoredStore(t *testing.T) {
	soak(t, chosenSeed(), *soakTime, restoreRepeatedly)
}

// restoredSeedsThatFailed are seeds of TestSoakWithARestoredStore that once failed, with the cause.
var restoredSeedsThatFailed = []struct {
	seed  uint64
	cause string
}{
	{2, "an order was rewritten after the entries of its servers, which then counted as ordinary servers"},
	{21, "same as 2"},
	{10, "same as 2"},
	{13, "same as 2, and a bad version exceeded its exposure bound"},
	{14, "same as 13"},
	{35, "servers listed before their lost order was rewritten received ordinary traffic"},
	{46, "same as 35"},
}

func TestRestoredSeedsThatFailed(t *testing.T) {
	for _, failed := range restoredSeedsThatFailed {
		t.Run(strconv.FormatUint(failed.seed, 10), func(t *testing.T) {
			t.Log(failed.cause)
			soak(t, failed.seed, 20*time.Second, restoreRepeatedly)
		})
	}
}

// restoreRepeatedly restores the store from backups of random age, at random intervals, until done
// is closed.
func restoreRepeatedly(world *world, random *lockedRandom, done <-chan struct{}) {
	world.store.EnableEra()
	randomDuration := func(longest time.Duration) time.Duration {
		return time.Duration(random.IntN(int(longest/time.Millisecond))) * time.Millisecond
	}
	var backups []standin.Backup
	due := time.Now().Add(randomDuration(8 * time.Second))
	for {
		select {
		case <-done:
			return
		case <-time.After(backupInterval):
		}
		backups = append(backups, world.store.Backup())
		backups = backups[max(len(backups)-maxBackups, 0):]
		if time.Now().Before(due) {
			continue
		}
		due = time.Now().Add(randomDuration(8 * time.Second))
		faults := []standin.StoreFaults{{Hang: true}, {Unavailable: true}}
		world.store.SetFaults(faults[random.IntN(len(faults))])
		if random.IntN(3) > 0 {
			time.Sleep(randomDuration(maxStoreOutage))
		}
		world.store.Restore(backups[random.IntN(len(backups))])
		backups = nil
		world.store.SetFaults(standin.StoreFaults{})
		rewriteLost(world, randomDuration)
	}
}

// rewriteLost makes the servers and the operator rewrite what was lost, each after a random delay.
func rewriteLost(world *world, randomDuration func(longest time.Duration) time.Duration) {
	servers, operator := randomDuration(serversRewriteWithin), randomDuration(operatorRewritesWithin)
	time.Sleep(min(servers, operator))
	if servers < operator {
		world.store.RepeatWrites("servers")
	}
	for _, kind := range []string{"config", standin.KindRollouts} {
		if servers >= operator {
			world.store.RepeatWrites(kind)
		}
	}
	time.Sleep(max(servers, operator) - min(servers, operator))
	for _, kind := range []string{"servers", "config", standin.KindRollouts} {
		world.store.RepeatWrites(kind)
	}
}
