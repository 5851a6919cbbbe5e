// Package membudget bounds the memory that a process holds on behalf of its clients: requests that
// are being read, answers that are being read from servers, and answers that wait for their clients
// to read them.
//
// All of it is one sum against one limit. Each request has an account. Memory that does not fit is
// refused, after the accounts of clients that transfer too little have been evicted; small requests
// are served from a part of the budget that large ones cannot use.
package membudget

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bytes is an amount of memory.
type Bytes int64

// Megabyte is the unit of the settings.
const Megabyte Bytes = 1 << 20

const (
	// Allowance is what each account may use without asking: the buffers of a small request and its
	// answer.
	Allowance Bytes = 16 << 10
	// largeShare is the share of the limit that accounts may use beyond their allowances.
	largeShare = 0.75
	// evictionGrace is how long a client may take for a transfer before it can be evicted. A client
	// that is not limited by its own reading has finished by then.
	evictionGrace = time.Second
	// retryInterval is how often a wait for memory looks for accounts to evict.
	retryInterval = 100 * time.Millisecond
)

var (
	// ErrExhausted means that the memory is in use.
	ErrExhausted = errors.New("the memory for requests is in use")
	// ErrTooLarge means that the memory would not suffice if nothing else used it.
	ErrTooLarge = errors.New("larger than the memory for requests")
	// errClosed means that the request is over.
	errClosed = errors.New("the request is over")
)

// Budget is the memory for the requests of a process. The zero value and nil have no limit. It is safe
// for concurrent use.
type Budget struct {
	limit Bytes

	mutex sync.Mutex
	held  Bytes
	// evicting is the part of held that evicted accounts are about to return: the sum of theirs.
	evicting Bytes
	// transfers are the accounts that can be evicted.
	transfers map[*Account]struct{}
	// released is closed when memory is returned; nil if nobody waits for it.
	released chan struct{}
}

// New returns a budget; zero means no limit.
func New(limit Bytes) *Budget {
	return &Budget{limit: limit, transfers: make(map[*Account]struct{})}
}

// Limit returns the limit; zero for none.
func (b *Budget) Limit() Bytes { return b.limit }

// Held returns the memory in use.
func (b *Budget) Held() Bytes {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Open returns an account with its allowance. It returns ErrExhausted if that does not fit. The account
// of a nil budget is nil.
func (b *Budget) Open() (*Account, error) {
	if b == nil {
		return nil, nil
	}
	account := &Account{budget: b}
	b.mutex.Lock()
	evicted, err := b.charge(account, Allowance, b.limit)
	b.mutex.Unlock()
	callAll(evicted)
	if err != nil {
		return nil, err
	}
	return account, nil
}

// charge charges the account if the sum stays within the limit. Otherwise it returns ErrExhausted and
// the functions that evict transfers, to be called without the mutex. The caller holds the mutex.
func (b *Budget) charge(account *Account, amount, limit Bytes) ([]func(), error) {
	if b.limit > 0 && b.held+amount > limit {
		return b.chooseEvicted(b.held-b.evicting+amount-limit, time.Now()), ErrExhausted
	}
	b.held += amount
	account.held += amount
	return nil, nil
}

func callAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// chooseEvicted returns the functions that evict transfers which hold at least the needed memory
// together, the slowest first. The caller holds the mutex.
func (b *Budget) chooseEvicted(needed Bytes, now time.Time) []func() {
	var slow []*Account
	for account := range b.transfers {
		if now.Sub(account.startedAt) >= evictionGrace {
			slow = append(slow, account)
		}
	}
	slices.SortFunc(slow, func(one, other *Account) int { return cmp.Compare(one.rate(now), other.rate(now)) })
	var evicted []func()
	for _, account := range slow {
		if needed <= 0 {
			break
		}
		needed -= account.held
		account.evicting = account.held
		b.evicting += account.evicting
		delete(b.transfers, account)
		evicted = append(evicted, account.evict)
	}
	return evicted
}

// giveBack returns memory of an account. The caller holds the mutex.
func (b *Budget) giveBack(account *Account, amount Bytes) {
	b.held -= amount
	account.held -= amount
	b.stopEvicting(account, min(amount, account.evicting))
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// stopEvicting takes the amount from what the account is about to return. The caller holds the mutex.
func (b *Budget) stopEvicting(account *Account, amount Bytes) {
	b.evicting -= amount
	account.evicting -= amount
}

// wait returns a channel that is closed when memory is returned.
func (b *Budget) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// large returns the memory that accounts may use beyond their allowances.
func (b *Budget) large() Bytes { return Bytes(largeShare * float64(b.limit)) }

// Account is the memory that one request uses. A nil account has no limit. It is safe for concurrent
// use.
type Account struct {
	budget *Budget
	// The fields below are guarded by the mutex of the budget.

	// used is what the request uses, held what is charged for it: at least the allowance.
	used, held Bytes
	closed     bool
	// evict ends the transfer to or from the client; startedAt and transferred are its progress.
	evict       func()
	startedAt   time.Time
	transferred Bytes
	// evicting is the part of held that the account is about to return, because its transfer has been
	// evicted; at most held.
	evicting Bytes
}

// Use adds to the memory that the request uses. If it does not fit, Use waits for it until ctx ends,
// and then returns ErrExhausted.
func (a *Account) Use(ctx context.Context, amount Bytes) error {
	if a == nil {
		return nil
	}
	for {
		released := a.budget.wait()
		err := a.TryUse(amount)
		if !errors.Is(err, ErrExhausted) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-released:
		case <-time.After(retryInterval):
		}
	}
}

// TryUse is Use without waiting.
func (a *Account) TryUse(amount Bytes) error {
	if a == nil {
		return nil
	}
	a.budget.mutex.Lock()
	evicted, err := a.use(amount)
	a.budget.mutex.Unlock()
	callAll(evicted)
	return err
}

// use is TryUse for a caller that holds the mutex; it returns what charge returns.
func (a *Account) use(amount Bytes) ([]func(), error) {
	large := a.budget.large()
	missing := a.used + amount - a.held
	switch {
	case a.closed:
		return nil, errClosed
	case missing <= 0:
	case a.budget.limit > 0 && missing > large:
		return nil, ErrTooLarge
	default:
		if evicted, err := a.budget.charge(a, missing, large); err != nil {
			return evicted, err
		}
	}
	a.used += amount
	return nil, nil
}

// Free takes from the memory that the request uses.
func (a *Account) Free(amount Bytes) {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.used -= amount
	if surplus := min(a.held-a.used, a.held-Allowance); surplus > 0 && !a.closed {
		a.budget.giveBack(a, surplus)
	}
}

// StartTransfer makes the account subject to eviction until EndTransfer: its client reads or sends.
// evict ends the transfer; it must not block.
func (a *Account) StartTransfer(evict func()) {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.budget.stopEvicting(a, a.evicting) // the eviction of the transfer before came to nothing
	a.evict, a.startedAt, a.transferred = evict, time.Now(), 0
	if a.budget.transfers != nil && !a.closed {
		a.budget.transfers[a] = struct{}{}
	}
}

// Transferred records the progress of the transfer.
func (a *Account) Transferred(amount Bytes) {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.transferred += amount
}

// EndTransfer ends what StartTransfer began. An eviction that has not ended the transfer by now comes
// to nothing.
func (a *Account) EndTransfer() {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	delete(a.budget.transfers, a)
	a.budget.stopEvicting(a, a.evicting)
}

// Close returns all memory of the account.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(a.budget.transfers, a)
	a.budget.giveBack(a, a.held)
}

// rate returns the bytes per second of the transfer. The caller holds the mutex.
func (a *Account) rate(now time.Time) float64 {
	return float64(a.transferred) / now.Sub(a.startedAt).Seconds()
}
