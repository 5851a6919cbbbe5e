package gossip

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// drawIncarnation draws a wall clock time in milliseconds, possibly in the far future.
func drawIncarnation(t *rapid.T) uint64 {
	return rapid.Uint64Range(0, 1<<45).Draw(t, "incarnation")
}

func drawMessage(t *rapid.T) swim.Message {
	text := rapid.StringN(0, 40, 60)
	drawn := swim.Message{
		Kind:              swim.Kind(rapid.IntRange(0, 3).Draw(t, "kind")),
		Sequence:          rapid.Uint64Range(0, math.MaxInt64).Draw(t, "sequence"),
		From:              text.Draw(t, "from"),
		FromIncarnation:   drawIncarnation(t),
		Target:            text.Draw(t, "target"),
		TargetIncarnation: drawIncarnation(t),
		TargetAddress:     text.Draw(t, "target address"),
		TableHash:         rapid.Uint64().Draw(t, "hash"),
		Quiet:             rapid.Bool().Draw(t, "quiet"),
		Updates:           []swim.Update{},
	}
	for _, detailed := range rapid.SliceOfN(rapid.Bool(), 0, 30).Draw(t, "updates") {
		update := swim.Update{ID: text.Draw(t, "id"), Incarnation: drawIncarnation(t), Status: swim.StatusDead}
		if detailed {
			update.Details = &swim.Details{
				Address: text.Draw(t, "address"), GossipAddress: text.Draw(t, "gossip"),
				Zone: text.Draw(t, "zone"), Region: text.Draw(t, "region"),
			}
		}
		drawn.Updates = append(drawn.Updates, update)
	}
	return drawn
}

// A datagram is never larger than the estimate of its message, and decodes to the same
// message except for the order of updates.
func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawMessage(t)
		summary := config.Summary{Highest: rapid.Int64().Draw(t, "highest"), Hash: rapid.Uint64().Draw(t, "config hash")}
		encoded, err := encodeDatagram(tagMember, 0, newMemberDatagram(sent, summary))
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > sent.Size() {
			t.Fatalf("%d bytes, estimated as %d", len(encoded), sent.Size())
		}
		datagram := &message.MemberDatagram{}
		if err := datagram.Unmarshal(encoded[datagramHeaderBytes:]); err != nil {
			t.Fatal(err)
		}
		received := memberMessage(datagram)
		if len(received.Updates) != len(sent.Updates) {
			t.Fatalf("%d updates became %d", len(sent.Updates), len(received.Updates))
		}
		sent.Updates, received.Updates = nil, nil
		if !reflect.DeepEqual(sent, received) {
			t.Fatalf("%+v became %+v", sent, received)
		}
	})
}

// A spec decodes to the same spec; one over the size limit is rejected while it is being
// decompressed.
func TestEntryRoundTrip(t *testing.T) {
	entry := config.Entry{Service: "fleet", Revision: 7, Spec: &v1.QueryServiceSpec{Path: "/query"}}
	encoded, err := encodeEntry(entry)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeEntry(encoded)
	if err != nil || !reflect.DeepEqual(entry, decoded) {
		t.Fatalf("%+v became %+v, %v", entry, decoded, err)
	}
	entry.Spec = &v1.QueryServiceSpec{Path: strings.Repeat("x", maxSpecBytes)}
	encoded, err = encodeEntry(entry)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeEntry(encoded); err == nil {
		t.Fatal("a spec over the limit was decoded")
	}
}
