package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// duplicateReplyLinger is how long a connection on which a reply was sent twice
// stays open, so that its next request reads the second copy.
const duplicateReplyLinger = 5 * time.Second

// answer sends the reply, subject to the current fault.
func (server *Server) answer(writer http.ResponseWriter, reply Reply, version Version, failure error) {
	fault := server.faults.nextReply()
	if fault.Kind == FaultLate {
		time.Sleep(fault.delay())
	}
	if errors.Is(failure, context.DeadlineExceeded) {
		http.Error(writer, "deadline exceeded", http.StatusGatewayTimeout)
		return
	}
	if failure != nil {
		return // The sender closed the connection.
	}
	switch fault.Kind {
	case FaultError:
		http.Error(writer, "fault: error", http.StatusInternalServerError)
	case FaultWrongRequest:
		server.sendReply(writer, server.previous.swap(reply, server.name), reply.RequestID, version.Snapshot)
	case FaultWrongVersion:
		other := withSnapshot(reply, server.versions.other(version.Snapshot))
		server.sendReply(writer, other, reply.RequestID, other.Snapshot)
	case FaultWrongBodyVersion:
		other := withSnapshot(reply, server.versions.other(version.Snapshot))
		server.sendReply(writer, other, reply.RequestID, version.Snapshot)
	case FaultTruncate, FaultReset, FaultDuplicate:
		server.sendRaw(writer, reply, fault.Kind)
	default:
		server.previous.swap(reply, server.name)
		server.sendReply(writer, reply, reply.RequestID, version.Snapshot)
	}
}

// withSnapshot returns a copy of the reply with another index version.
func withSnapshot(reply Reply, snapshot int64) Reply {
	other := Reply{RequestID: reply.RequestID, Snapshot: snapshot}
	for _, part := range reply.Parts {
		part.Body.Snapshot = snapshot
		other.Parts = append(other.Parts, part)
	}
	return other
}

func (server *Server) replyHeader(requestID string, snapshot int64, reply Reply) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, requestID)
	header.Set(headerSnapshot, strconv.FormatInt(snapshot, 10))
	header.Set(headerShards, formatShards(reply))
	header.Set(headerSnapshotsHeld, formatSnapshots(server.versions.snapshots()))
	if announced, _ := server.faults.draining(time.Now()); announced {
		header.Set(headerDraining, headerTrue)
	}
	return header
}

func formatShards(reply Reply) string {
	var text bytes.Buffer
	for index, part := range reply.Parts {
		if index > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(int(part.Shard)))
	}
	return text.String()
}

func (server *Server) sendReply(writer http.ResponseWriter, reply Reply, requestID string, snapshot int64) {
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	for name, values := range server.replyHeader(requestID, snapshot, reply) {
		writer.Header()[name] = values
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// An error means that the client disconnected, so there is nowhere to report it.
	_, _ = writer.Write(body)
}

// sendRaw writes the reply directly to the connection, with the given fault.
func (server *Server) sendRaw(writer http.ResponseWriter, reply Reply, kind FaultKind) {
	whole, err := server.rawReply(reply, writer.Header().Get(headerAttemptID))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		http.Error(writer, "connection can not be taken over", http.StatusInternalServerError)
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if kind == FaultDuplicate {
		sendTwice(connection, whole)
		return
	}
	_, _ = connection.Write(whole[:len(whole)-len(whole)/4])
	if tcp, ok := connection.(*net.TCPConn); ok && kind == FaultReset {
		_ = tcp.SetLinger(0)
	}
}

func sendTwice(connection net.Conn, whole []byte) {
	if _, err := connection.Write(append(whole, whole...)); err != nil {
		return
	}
	_ = connection.SetReadDeadline(time.Now().Add(duplicateReplyLinger))
	_, _ = io.Copy(io.Discard, connection)
}

func (server *Server) rawReply(reply Reply, attempt string) ([]byte, error) {
	body, err := json.Marshal(reply)
	if err != nil {
		return nil, err
	}
	header := server.replyHeader(reply.RequestID, reply.Snapshot, reply)
	header.Set(headerAttemptID, attempt)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	var whole bytes.Buffer
	fmt.Fprintf(&whole, "HTTP/1.1 200 OK\r\n")
	if err := header.Write(&whole); err != nil {
		return nil, err
	}
	whole.WriteString("\r\n")
	whole.Write(body)
	return whole.Bytes(), nil
}
