package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// noop is an observer and a record store that do nothing.
type noop struct{}

func (noop) AttemptsLost(string, int)                                     {}
func (noop) RequestDecided(Action)                                        {}
func (noop) TrialEnded(TrialResult)                                       {}
func (noop) RecordWritten(error)                                          {}
func (noop) WriteRecord(_ context.Context, record Record) (Record, error) { return record, nil }
func (noop) RemoveRecord(context.Context, Digest) error                   { return nil }

// BenchmarkAdmit measures the cost for a request without a record: with no records at all, with
// the maximum number of records, and with a body of 1 MB.
func BenchmarkAdmit(b *testing.B) {
	for _, test := range []struct{ records, body int }{{0, 0}, {maxRecords, 0}, {maxRecords, 1 << 20}} {
		b.Run(fmt.Sprintf("%d records, body of %d", test.records, test.body), func(b *testing.B) {
			manager := NewManager(Options{Term: testTerm, Store: noop{}, Observer: noop{}, Now: boottime.Now})
			for number := range test.records {
				loss := Loss{Digest: request(fmt.Sprint("bad-", number)).Digest(), Service: "s", Server: "i", At: time.Now()}
				manager.AttemptLost(loss)
			}
			manager.ServerCrashed("i")
			for number := range test.records {
				manager.locked(func(now boottime.Instant) {
					manager.records.AddLoss(Loss{Digest: request(fmt.Sprint("bad-", number)).Digest(), Service: "s", Server: "i"}, now)
				})
			}
			body := make([]byte, test.body)
			b.ReportAllocs()
			for b.Loop() {
				identity := &Identity{Line: []byte("GET /sound HTTP/1.1"), Host: "h", Body: body}
				admission := manager.Admit(b.Context(), identity, time.Second, anyServer)
				admission.MaySend()
			}
		})
	}
}
