package tunnel

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/reach"
)

const (
	// askInterval is how long a host has to answer before the next one is asked as well. The host that is asked connects
	// first, which takes a round trip.
	askInterval = 50 * time.Millisecond
	// askTimeout is how long a host's answer is waited for.
	askTimeout = 200 * time.Millisecond
)

// ask asks one host for a connection to an address.
func (dialer *Dialer) ask(ctx context.Context, peer cherrykeel.Peer, address string, order bool) (openedTunnel, reach.Reply) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	opened, err := dialer.peerDialer.DialContext(ctx, "tcp", peer.InternalAddress)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return openedTunnel{}, reach.Incapable
		}
		return openedTunnel{}, reach.Silent
	}
	socket := opened.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	answer, err := dialer.call(socket, openCall{Host: dialer.self.Name, Incarnation: dialer.self.Incarnation, Address: address, Order: order})
	inTime := stop()
	if err == nil && answer.State == stateOpened && inTime {
		return openedTunnel{socket: socket, marksEnd: answer.MarksEnd}, reach.Opened
	}
	reset(socket)
	if err != nil || !inTime {
		return openedTunnel{}, reach.Silent
	}
	return openedTunnel{}, answer.reply()
}

func (dialer *Dialer) call(socket *net.TCPConn, call openCall) (openAnswer, error) {
	err := writeCall(socket, call)
	if err != nil {
		return openAnswer{}, err
	}
	return readAnswer(socket)
}

// openedTunnel is a tunnel that a host has opened. marksEnd means that it ends in order only if the upstream has ended it so.
type openedTunnel struct {
	socket   *net.TCPConn
	marksEnd bool
}

// reply is what one host has answered, with the tunnel if it has opened one.
type reply struct {
	openedTunnel
	peer  cherrykeel.Peer
	reply reach.Reply
}

// askedResult is the result of asking hosts for a connection: the one that has opened it, or what they replied instead.
type askedResult struct {
	reply
	replies reach.Replies
	// declined names the hosts that did not open it, with their replies.
	declined []string
}

// askAll asks the hosts one after the other until one has opened the connection, or enough have told why they did not. It
// asks the next one as soon as the one before has declined, or does not answer. The error is not nil if none has opened it.
func (dialer *Dialer) askAll(ctx context.Context, peers []cherrykeel.Peer, address string, order bool) (askedResult, error) {
	var asking askedResult
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan reply, len(peers))
	asked, answered := 0, 0
	askNext := func() {
		if asked == len(peers) || !asking.replies.AllowsNext(asked-answered) {
			return
		}
		peer := peers[asked]
		asked++
		go func() {
			opened, answered := dialer.ask(ctx, peer, address, order)
			results <- reply{openedTunnel: opened, peer: peer, reply: answered}
		}()
	}
	askNext()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for answered < asked {
		select {
		case <-ticker.C:
			askNext()
		case result := <-results:
			answered++
			if result.reply == reach.Opened {
				dialer.recordReply(result.peer.Name, address, result.reply)
				go closeLater(results, asked-answered)
				asking.reply = result
				return asking, nil
			}
			if ctx.Err() == nil {
				dialer.recordReply(result.peer.Name, address, result.reply)
			}
			asking.replies.Add(result.reply)
			asking.declined = append(asking.declined, result.peer.Name+": "+result.reply.String())
			askNext()
		}
	}
	return asking, errors.WithStack(errNoHost)
}

// closeLater closes the connections of hosts whose answer came after another host's.
func closeLater(results <-chan reply, count int) {
	for range count {
		result := <-results
		if result.socket != nil {
			reset(result.socket)
		}
	}
}

// reset closes a connection so that bytes that were not delivered are discarded.
func reset(socket *net.TCPConn) {
	_ = socket.SetLinger(0)
	_ = socket.Close()
}
