package gossip

import (
	"encoding/binary"
	"net"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// takeDatagram decodes a datagram and gives it to its receiver. The data is
// valid only until it returns.
func (node *Node) takeDatagram(from net.Addr, data []byte) error {
	if len(data) < datagramHeader {
		return errUnknownDatagram
	}
	tag, mark, content := data[0], binary.BigEndian.Uint32(data[1:]), data[datagramHeader:]
	if mark != node.mark {
		return errOtherCluster
	}
	switch tag {
	case tagMember:
		datagram := &message.MemberDatagram{}
		if err := datagram.Unmarshal(content); err != nil {
			return err
		}
		node.takeMember(from.String(), datagram)
	case tagRevisionQuery:
		query := &message.RevisionQuery{}
		if err := query.Unmarshal(content); err != nil {
			return err
		}
		node.answerRevisionQuery(from.String(), query)
	case tagRevisionReply:
		reply := &message.RevisionReply{}
		if err := reply.Unmarshal(content); err != nil {
			return err
		}
		node.queries.take(reply)
	default:
		return errUnknownDatagram
	}
	return nil
}

func (node *Node) takeMember(from string, datagram *message.MemberDatagram) {
	node.step(swim.Received{Address: from, Message: memberMessage(datagram)})
	summary := config.Summary{Highest: datagram.HighestRevision, Hash: uint64(datagram.ConfigHash)}
	node.compareConfig(datagram.From, summary)
}
