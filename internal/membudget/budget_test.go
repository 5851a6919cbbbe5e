package membudget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func open(t *testing.T, budget *Budget) *Account {
	t.Helper()
	account, err := budget.Open()
	is.New(t).NoErr(err)
	return account
}

// A budget and an account that are not set up have no limit.
func TestZeroValuesHaveNoLimit(t *testing.T) {
	is := is.New(t)
	account := open(t, &Budget{})
	is.NoErr(account.TryUse(1 << 40))
	account.StartTransfer(func() {})
	account.Close()
	var none *Account
	is.NoErr(none.TryUse(1 << 40))
	none.Free(1)
	none.Close()
}

// Small requests fit while large ones use all that they may use.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	budget := New(Megabyte)
	large := open(t, budget)
	is.NoErr(large.TryUse(budget.large()))
	is.True(errors.Is(large.TryUse(1), ErrExhausted))
	for range (Megabyte - budget.large()) / Allowance {
		is.NoErr(open(t, budget).TryUse(Allowance))
	}
	_, err := budget.Open()
	is.True(errors.Is(err, ErrExhausted))
	large.Close()
	open(t, budget)
}

// What could never fit is refused at once.
func TestTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := open(t, New(Megabyte))
		start := time.Now()
		is.True(errors.Is(account.Use(t.Context(), Megabyte), ErrTooLarge))
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// A request waits for memory until others return it, or its context ends.
func TestUseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := New(Megabyte)
		first, second := open(t, budget), open(t, budget)
		is.NoErr(first.TryUse(budget.large() / 2))
		time.AfterFunc(3*time.Second, first.Close)
		start := time.Now()
		is.NoErr(second.Use(t.Context(), budget.large()-Allowance))
		is.Equal(time.Since(start), 3*time.Second)
		third := open(t, budget)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(third.Use(ctx, budget.large()/2), ErrExhausted))
		second.Close()
		is.True(errors.Is(second.TryUse(2*Allowance), errClosed))
	})
}

// The slowest transfers are evicted, only as many as needed, and none that has just begun.
func TestSlowTransfersAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := New(Megabyte)
		var evicted []string
		transfer := func(name string, size Bytes) *Account {
			account := open(t, budget)
			is.NoErr(account.TryUse(size))
			account.StartTransfer(func() {
				evicted = append(evicted, name)
				account.Close()
			})
			return account
		}
		quarter := budget.large() / 4
		fast := transfer("fast", quarter)
		transfer("slow", quarter)
		slower := transfer("slower", quarter)
		fast.Transferred(1000)
		slower.Transferred(0)
		waiting := open(t, budget)
		is.True(errors.Is(waiting.TryUse(2*quarter), ErrExhausted))
		is.Equal(len(evicted), 0) // all have just begun
		time.Sleep(evictionGrace)
		transfer("new", quarter-2*Allowance)
		is.NoErr(waiting.Use(t.Context(), 2*quarter))
		is.Equal(len(evicted), 2)
		is.True(evicted[0] != "fast" && evicted[1] != "fast")
		is.True(slices.Contains(evicted, "slower"))
	})
}

// An account whose transfer has ended is not evicted.
func TestEndedTransferIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := New(Megabyte)
		account := open(t, budget)
		is.NoErr(account.TryUse(budget.large()))
		account.StartTransfer(func() { t.Error("evicted") })
		account.EndTransfer()
		time.Sleep(evictionGrace)
		is.True(errors.Is(open(t, budget).TryUse(2*Allowance), ErrExhausted))
	})
}

// Guards against a budget that evicts too many transfers, or too few, from then on: an eviction comes
// to nothing, because its transfer has just ended, and the account goes on and uses more.
func TestEvictionThatComesToNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := New(Megabyte)
		half := budget.large() / 2
		account, other, waiting := open(t, budget), open(t, budget), open(t, budget)
		is.NoErr(account.TryUse(half))
		is.NoErr(other.TryUse(half - Allowance))
		account.StartTransfer(func() {})
		time.Sleep(evictionGrace)
		is.True(errors.Is(waiting.TryUse(2*Allowance), ErrExhausted))
		is.Equal(budget.evicting, half)
		account.EndTransfer()
		other.Close()
		is.NoErr(account.TryUse(half / 2))
		account.Close()
		waiting.Close()
		is.Equal(budget.Held(), Bytes(0))
		is.Equal(budget.evicting, Bytes(0))
	})
}

// Whatever accounts do, the sum stays within the limit, and nothing remains once all are closed.
func TestSumStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowances := rapid.SampledFrom([]Bytes{0, 1, 4, 16, 64, 256}).Draw(t, "allowances")
		budget := New(allowances*Allowance + Bytes(rapid.Int64Range(1, int64(Allowance)).Draw(t, "remainder")))
		var accounts []*Account
		used := make(map[*Account]Bytes)
		pick := func(t *rapid.T) *Account {
			if len(accounts) == 0 {
				t.Skip("no account")
			}
			return rapid.SampledFrom(accounts).Draw(t, "account")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if account, err := budget.Open(); err == nil {
					accounts = append(accounts, account)
				}
			},
			"use": func(t *rapid.T) {
				account, quarters := pick(t), Bytes(rapid.Int64Range(0, 4).Draw(t, "quarters of the limit"))
				size := quarters*budget.Limit()/4 + Bytes(rapid.Int64Range(0, 2*int64(Allowance)).Draw(t, "remainder"))
				if account.TryUse(size) == nil {
					used[account] += size
				}
			},
			"free": func(t *rapid.T) {
				account := pick(t)
				size := Bytes(rapid.Int64Range(0, int64(used[account])).Draw(t, "size"))
				account.Free(size)
				used[account] -= size
			},
			"transfer": func(t *rapid.T) {
				account, evict := pick(t), func() {} // comes to nothing
				if rapid.Bool().Draw(t, "evicted in time") {
					evict = account.Close
				}
				account.StartTransfer(evict)
				account.startedAt = account.startedAt.Add(-evictionGrace)
			},
			"end transfer": func(t *rapid.T) { pick(t).EndTransfer() },
			"close":        func(t *rapid.T) { pick(t).Close() },
			"": func(t *rapid.T) {
				if held := budget.Held(); held < 0 || held > budget.Limit() {
					t.Fatalf("%d bytes held of %d", held, budget.Limit())
				}
				if budget.evicting < 0 || budget.evicting > budget.Held() {
					t.Fatalf("%d bytes being returned of %d", budget.evicting, budget.Held())
				}
			},
		})
		for _, account := range accounts {
			account.Close()
		}
		if budget.Held() != 0 || budget.evicting != 0 {
			t.Fatalf("%d bytes held, %d being returned, by no account", budget.Held(), budget.evicting)
		}
	})
}

// Concurrent use neither exceeds the limit nor loses memory.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	budget := New(4 * Megabyte)
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			account, err := budget.Open()
			if err != nil {
				return
			}
			defer account.Close()
			account.StartTransfer(func() {})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if account.Use(ctx, Megabyte) == nil {
				account.Transferred(1000)
				account.Free(Megabyte / 2)
			}
		})
	}
	group.Wait()
	is.Equal(budget.Held(), Bytes(0))
}
