package rollouts

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// earliestTrouble and latestTrouble are when a trouble may begin that the seed draws, as
	// parts of the order's time.
	earliestTrouble, latestTrouble = 0.02, 0.4
	// troublePart is how long one lasts, as a part of the order's time; at most
	// longestTrouble.
	troublePart    = 0.35
	longestTrouble = 5 * time.Second
	// restartPause is the time from the end of a killed process to the next one.
	restartPause = 500 * time.Millisecond
	// slowFactor is how many times slower a slow server is.
	slowFactor = 4
	// lostWriteDelay is how much later writes are done whose answers are lost.
	lostWriteDelay = time.Second
)

// Trouble is what goes wrong besides the new version.
type Trouble struct {
	Name, Help string
	// play lets it happen, for the span.
	play func(ctx context.Context, r *run, span time.Duration) error
	// links is set if it needs links that can be cut.
	links bool
}

// Troubles are all kinds of trouble.
var Troubles = []Trouble{
	{Name: "none", Help: "nothing", play: func(context.Context, *run, time.Duration) error { return nil }},
	{Name: "slow-servers", Help: "one old and one new server are four times slower until the end", play: playSlowServers},
	{Name: "store-down", Help: "the store answers 503", play: func(ctx context.Context, r *run, span time.Duration) error {
		return playStore(ctx, r, span, standin.StoreFaults{Unavailable: true})
	}},
	{Name: "store-lost", Help: "answers of the store are lost, and writes done a second later", play: func(ctx context.Context, r *run, span time.Duration) error {
		return playStore(ctx, r, span, standin.StoreFaults{LoseAnswers: true, DelayWrites: lostWriteDelay})
	}},
	{Name: "kill-decider", Help: "the node that wrote a status last is killed and started again", play: playKill},
	{Name: "kill-all", Help: "all nodes are killed at once and started again", play: playKillAll},
	{Name: "freeze-decider", Help: "the node that wrote a status last stands still", play: playFreeze},
	{Name: "cut", Help: "the node that wrote a status last is cut off from the store and the other nodes", play: playCut, links: true},
}

func troubleOf(name string) (Trouble, bool) {
	for _, trouble := range Troubles {
		if trouble.Name == name {
			return trouble, true
		}
	}
	return Trouble{}, false
}

// trouble waits for its time and plays it.
func (r *run) trouble(ctx context.Context) error {
	duration := r.options.Duration
	part := r.options.TroubleAt
	if part < 0 {
		part = earliestTrouble + (latestTrouble-earliestTrouble)*r.troubleAt
	}
	if err := sleep(ctx, time.Duration(part*float64(duration))); err != nil {
		return err
	}
	span := min(time.Duration(troublePart*float64(duration)), longestTrouble)
	chosen, _ := troubleOf(r.options.Trouble)
	return chosen.play(ctx, r, span)
}

func playSlowServers(ctx context.Context, r *run, _ time.Duration) error {
	for len(r.operator.started()) == 0 {
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "no new server has started")
		}
	}
	r.world.old[0].SetWork(slowFactor * work)
	r.operator.started()[0].SetWork(slowFactor * work)
	return nil
}

func playStore(ctx context.Context, r *run, span time.Duration, faults standin.StoreFaults) error {
	r.world.store.SetFaults(faults)
	defer r.world.store.SetFaults(standin.StoreFaults{})
	return sleep(ctx, span)
}

func playKill(ctx context.Context, r *run, _ time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	return r.killAndStart(ctx, index)
}

func playKillAll(ctx context.Context, r *run, _ time.Duration) error {
	all := make([]int, len(r.fleet.nodes))
	for index := range all {
		all[index] = index
	}
	return r.killAndStart(ctx, all...)
}

// killAndStart kills nodes at once, starts them again after restartPause and waits until
// they are ready. Callers leave them alone meanwhile.
func (r *run) killAndStart(ctx context.Context, indexes ...int) error {
	for _, index := range indexes {
		r.fleet.nodes[index].away.Store(true)
		r.fleet.nodes[index].process.Kill()
	}
	if err := sleep(ctx, restartPause); err != nil {
		return err
	}
	for _, index := range indexes {
		if err := r.fleet.start(ctx, index); err != nil {
			return err
		}
	}
	if err := r.fleet.awaitReady(ctx); err != nil {
		return err
	}
	for _, index := range indexes {
		r.fleet.nodes[index].away.Store(false)
	}
	return nil
}

func playFreeze(ctx context.Context, r *run, span time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	frozen := r.fleet.nodes[index]
	frozen.away.Store(true)
	if err := frozen.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The process goes on even if the run ends early.
	_ = sleep(ctx, span)
	if err := frozen.process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	frozen.away.Store(false)
	return ctx.Err()
}

func playCut(ctx context.Context, r *run, span time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	r.fleet.setCut(index, true)
	defer r.fleet.setCut(index, false)
	return sleep(ctx, span)
}
