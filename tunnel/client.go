package tunnel

import (
	"context"
	"net"
	"strings"
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
func (dialer *Dialer) ask(ctx context.Context, peer cherrykeel.Peer, address string) (*net.TCPConn, reach.Reply) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	opened, err := dialer.peerDialer.DialContext(ctx, "tcp", peer.InternalAddress)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, reach.Incapable
		}
		return nil, reach.Silent
	}
	socket := opened.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	state, err := dialer.call(socket, address)
	inTime := stop()
	if err == nil && state == stateOpened && inTime {
		return socket, reach.Opened
	}
	reset(socket)
	if err != nil || !inTime {
		return nil, reach.Silent
	}
	return nil, state.reply()
}

func (dialer *Dialer) call(socket *net.TCPConn, address string) (state, error) {
	err := writeCall(socket, openCall{Host: dialer.self.Name, Incarnation: dialer.self.Incarnation, Address: address})
	if err != nil {
		return "", err
	}
	return readAnswer(socket)
}

// askedResult is the result of asking one host.
type askedResult struct {
	peer   cherrykeel.Peer
	socket *net.TCPConn
	reply  reach.Reply
}

// askAll asks the hosts one after the other until one has opened the connection, or enough have told why they did not. It
// asks the next one as soon as the one before has declined, or does not answer. The error is not nil if none has opened
// it, and names those that were asked.
func (dialer *Dialer) askAll(ctx context.Context, order []cherrykeel.Peer, address string) (askedResult, reach.Replies, error) {
	var declined []string
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan askedResult, len(order))
	var replies reach.Replies
	asked, answered := 0, 0
	askNext := func() {
		if asked == len(order) || !replies.AllowsNext(asked-answered) {
			return
		}
		peer := order[asked]
		asked++
		go func() {
			socket, reply := dialer.ask(ctx, peer, address)
			results <- askedResult{peer: peer, socket: socket, reply: reply}
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
				return result, replies, nil
			}
			if ctx.Err() == nil {
				dialer.recordReply(result.peer.Name, address, result.reply)
			}
			replies.Add(result.reply)
			declined = append(declined, result.peer.Name+": "+result.reply.String())
			askNext()
		}
	}
	return askedResult{}, replies, errors.Wrap(errNoHost, strings.Join(declined, ", "))
}

// closeLater closes the connections of hosts whose answer came after another host's.
func closeLater(results <-chan askedResult, count int) {
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
