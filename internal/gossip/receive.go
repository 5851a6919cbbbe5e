package gossip

import (
	"encoding/binary"
	"net"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// handleDatagram decodes a datagram and dispatches it by its tag. It does not retain
// data.
func (node *Node) handleDatagram(from net.Addr, data []byte) error {
	if len(data) < datagramHeaderBytes {
		return errUnknownDatagram
	}
	tag, clusterHash, content := data[0], binary.BigEndian.Uint32(data[1:]), data[datagramHeaderBytes:]
	if clusterHash != node.clusterHash {
		return errOtherCluster
	}
	switch tag {
	case tagMember:
		datagram := &message.MemberDatagram{}
		if err := datagram.Unmarshal(content); err != nil {
			return err
		}
		node.handleMember(from.String(), datagram)
	case tagRevisionQuery:
		query := &message.RevisionQuery{}
		if err := query.Unmarshal(content); err != nil {
			return err
		}
		node.handleRevisionQuery(from.String(), query)
	case tagRevisionReply:
		reply := &message.RevisionReply{}
		if err := reply.Unmarshal(content); err != nil {
			return err
		}
		node.queries.deliver(reply)
	default:
		return errUnknownDatagram
	}
	return nil
}

func (node *Node) handleMember(from string, datagram *message.MemberDatagram) {
	node.step(swim.Received{Address: from, Message: memberMessage(datagram)})
	summary := config.Summary{Highest: datagram.HighestRevision, Hash: uint64(datagram.ConfigHash)}
	node.compareConfig(datagram.From, summary)
}
