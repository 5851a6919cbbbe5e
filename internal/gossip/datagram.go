package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// The first byte of a datagram is the type of its content.
const (
	tagMember byte = iota + 1
	tagRevisionQuery
	tagRevisionReply
)

// datagramHeaderBytes is the size of the header: tag and cluster hash.
const datagramHeaderBytes = 1 + 4

var (
	errUnknownDatagram = errors.New("unknown datagram type")
	errOtherCluster    = errors.New("datagram from another cluster")
)

// hashCluster returns the cluster hash that every datagram carries. It keeps two clusters
// apart when an address moves from one to the other.
func hashCluster(cluster string) uint32 { return uint32(xxhash.Sum64String(cluster)) }

type marshaler interface{ Marshal() ([]byte, error) }

func encodeDatagram(tag byte, clusterHash uint32, content marshaler) ([]byte, error) {
	encoded, err := content.Marshal()
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	datagram := make([]byte, 0, datagramHeaderBytes+len(encoded))
	datagram = append(datagram, tag)
	datagram = binary.BigEndian.AppendUint32(datagram, clusterHash)
	return append(datagram, encoded...), nil
}

func newMemberDatagram(sent swim.Message, summary config.Summary) *message.MemberDatagram {
	datagram := &message.MemberDatagram{
		Kind:              int(sent.Kind),
		Sequence:          int64(sent.Sequence),
		From:              sent.From,
		FromIncarnation:   int64(sent.FromIncarnation),
		FromStatus:        int(sent.FromStatus),
		Target:            sent.Target,
		TargetIncarnation: int64(sent.TargetIncarnation),
		TargetAddress:     sent.TargetAddress,
		TableHash:         int64(sent.TableHash),
		Quiet:             sent.Quiet,
		HighestRevision:   summary.Highest,
		ConfigHash:        int64(summary.Hash),
	}
	for _, update := range sent.Updates {
		if update.Details != nil {
			datagram.Entries = append(datagram.Entries, newMemberEntry(update))
			continue
		}
		datagram.Updates = append(datagram.Updates, message.MemberUpdate{
			ID:          update.ID,
			Incarnation: int64(update.Incarnation),
			Status:      int(update.Status),
		})
	}
	return datagram
}

func memberMessage(datagram *message.MemberDatagram) swim.Message {
	received := swim.Message{
		Kind:              swim.Kind(datagram.Kind),
		Sequence:          uint64(datagram.Sequence),
		From:              datagram.From,
		FromIncarnation:   uint64(datagram.FromIncarnation),
		FromStatus:        swim.Status(datagram.FromStatus),
		Target:            datagram.Target,
		TargetIncarnation: uint64(datagram.TargetIncarnation),
		TargetAddress:     datagram.TargetAddress,
		TableHash:         uint64(datagram.TableHash),
		Quiet:             datagram.Quiet,
		Updates:           memberUpdates(datagram.Entries),
	}
	for _, update := range datagram.Updates {
		received.Updates = append(received.Updates, swim.Update{
			ID:          update.ID,
			Incarnation: uint64(update.Incarnation),
			Status:      swim.Status(update.Status),
		})
	}
	return received
}

func newMemberEntry(update swim.Update) message.MemberEntry {
	return message.MemberEntry{
		ID:            update.ID,
		Incarnation:   int64(update.Incarnation),
		Status:        int(update.Status),
		Address:       update.Details.Address,
		GossipAddress: update.Details.GossipAddress,
		Zone:          update.Details.Zone,
		Region:        update.Details.Region,
	}
}

func newMemberEntries(updates []swim.Update) []message.MemberEntry {
	entries := make([]message.MemberEntry, 0, len(updates))
	for _, update := range updates {
		entries = append(entries, newMemberEntry(update))
	}
	return entries
}

func memberUpdates(entries []message.MemberEntry) []swim.Update {
	updates := make([]swim.Update, 0, len(entries))
	for _, entry := range entries {
		updates = append(updates, swim.Update{
			ID:          entry.ID,
			Incarnation: uint64(entry.Incarnation),
			Status:      swim.Status(entry.Status),
			Details: &swim.Details{
				Address:       entry.Address,
				GossipAddress: entry.GossipAddress,
				Zone:          entry.Zone,
				Region:        entry.Region,
			},
		})
	}
	return updates
}
