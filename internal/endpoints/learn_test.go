package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// observation is one answer: when its request was sent and ended, and the ratio of its
// time to the usual one.
type observation struct {
	sent, ended time.Duration
	ratio       float64
}

func TestSlownessAfterAnswers(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name         string
		observations []observation
		low, high    float64
	}{
		{"one long answer has little weight", []observation{{0, 100 * ms, 8}}, 2, 4},
		{"a second slow one has full weight", []observation{{0, 100 * ms, 8}, {110 * ms, 200 * ms, 7}}, 6.9, 7.1},
		{"answers delayed by one pause are one observation",
			[]observation{{0, 300 * ms, 8}, {50 * ms, 300 * ms, 7}}, 2, 5},
		{"two quick answers in a row end it",
			[]observation{{0, 100 * ms, 8}, {110 * ms, 200 * ms, 7}, {210 * ms, 220 * ms, 1}, {230 * ms, 240 * ms, 1}}, 0.9, 1.1},
		{"one quick answer does not",
			[]observation{{0, 100 * ms, 8}, {110 * ms, 200 * ms, 7}, {210 * ms, 220 * ms, 1}}, 4, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			endpoint := newEndpoint(server("a", "near-1"), epoch)
			now := epoch
			for _, seen := range test.observations {
				now = epoch.Add(seen.ended)
				endpoint.learn(seen.ratio, epoch.Add(seen.sent), now)
			}
			got := endpoint.currentSlowness(now)
			is.True(got >= test.low)
			is.True(got <= test.high)
		})
	}
}

func TestServerThatStaysSlowIsTriedLessOften(t *testing.T) {
	is := is.New(t)
	endpoint := newEndpoint(server("a", "near-1"), epoch)
	now := epoch
	for range 4 {
		sent := now
		now = now.Add(100 * time.Millisecond)
		endpoint.learn(8, sent, now)
	}
	is.Equal(endpoint.halfLife, maxSlownessHalfLife)
	for range 2 {
		sent := now
		now = now.Add(10 * time.Millisecond)
		endpoint.learn(1, sent, now)
	}
	is.Equal(endpoint.halfLife, slownessHalfLife)
}

// An initial estimate that is too low does not make the servers look slow.
func TestLongerProcessingThanEstimatedIsNoSlowness(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("a", "near-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	now := epoch
	for range 6 {
		choice := choose(t, directory, newCriteria(estimate), now)
		now = now.Add(200 * time.Millisecond)
		directory.Finish(choice, estimate, ResultAnswered, now)
		is.True(choice.Endpoint.currentSlowness(now) < 2)
	}
	is.True(estimate.Mean() > 150*time.Millisecond)
}

func TestSlowLocalServerIsPreferredLess(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	slow := directory.byID["near"]
	slow.slowness, slow.slownessUpdatedAt = 4, epoch // 80 of the 200 ms left
	is.Equal(choose(t, directory, newCriteria(estimate), epoch).Server.ID, "far")
	patient := newCriteria(estimate)
	patient.TimeLeft = time.Second
	is.Equal(choose(t, directory, patient, epoch).Server.ID, "near")
}

// The processing time is learned from the answers of ordinary servers, not of slow ones.
func TestEstimateIgnoresSlowServers(t *testing.T) {
	is := is.New(t)
	estimate := established(20 * time.Millisecond)
	for range 30 {
		estimate.observe(200*time.Millisecond, true)
		estimate.observe(20*time.Millisecond, false)
	}
	is.Equal(estimate.Mean(), 20*time.Millisecond)
	is.True(estimate.Quantile() <= 40*time.Millisecond)
}

// The estimate follows when requests take longer at all servers.
func TestEstimateFollowsSlowdownOfAllServers(t *testing.T) {
	is := is.New(t)
	estimate := established(20 * time.Millisecond)
	for range maxSkipped + 100 {
		estimate.observe(200*time.Millisecond, true)
	}
	is.True(estimate.Mean() > 150*time.Millisecond)
}

// A hedge is sent while its answer can still be in time, even if the hedge quantile of the
// processing time is later.
func TestHedgeIsSentWhileItCanHelp(t *testing.T) {
	for _, zone := range []string{"near-2", "far-1"} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("other", zone))
		estimate := established(20 * time.Millisecond)
		estimate.quantile = 150 * time.Millisecond
		choice := choose(t, directory, newCriteria(estimate), epoch)
		is.Equal(choice.Server.ID, "near")
		is.True(choice.HedgeDelay <= 140*time.Millisecond) // of the 200 ms left
		is.True(choice.HedgeDelay >= 50*time.Millisecond)
		late := newCriteria(estimate)
		late.TimeLeft = 20 * time.Millisecond
		directory.Finish(choice, estimate, ResultNotSent, epoch)
		is.True(choose(t, directory, late, epoch).HedgeDelay >= 150*time.Millisecond) // the quantile
	}
}
