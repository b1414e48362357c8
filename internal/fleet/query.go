package fleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"valeshift/internal/membership"
)

// A query is a nonce, sealed with the fleet's key, on a TCP connection of its own. The answer is the same nonce
// followed by the text, sealed as well, so that it answers this query only.

const (
	queryTimeout         = 500 * time.Millisecond // for the whole of a query, at either end
	maxAnswerBytes       = 8 << 20
	maxConcurrentQueries = 8 // answered at once: peers that hang must not take all descriptors
	nonceBytes           = 16
	acceptRetryInterval  = 50 * time.Millisecond
)

// errForeignAnswer tells that an answer's nonce is not the query's.
var errForeignAnswer = errors.New("the answer is to another query")

// query asks another relay for its snapshot.
func (n *Node) query(ctx context.Context, q Query) {
	text, err := exchange(ctx, n.key, q.Address)
	n.update(func(core *Core) []Action {
		core.ReceiveAnswer(q.Name, text, err)
		return nil
	})
}

// exchange puts a query to an address, and returns the text of its answer.
func exchange(ctx context.Context, key []byte, address string) ([]byte, error) {
	dialer := net.Dialer{Timeout: queryTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(queryTimeout))
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, fmt.Errorf("drawing a nonce: %w", err)
	}
	if _, err := conn.Write(membership.Seal(key, nonce[:])); err != nil {
		return nil, err
	}
	sealed, err := io.ReadAll(io.LimitReader(conn, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	body, err := membership.Open(key, sealed)
	if err != nil {
		return nil, err
	}
	if len(body) < nonceBytes || [nonceBytes]byte(body) != nonce {
		return nil, errForeignAnswer
	}
	return body[nonceBytes:], nil
}

// acceptQueries answers other relays' queries until the socket is closed. Beyond so many at once, connections
// are closed unanswered.
func (n *Node) acceptQueries(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentQueries)
	for {
		conn, err := n.sockets.queries.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, as a rule
			sleep(ctx, acceptRetryInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
			n.tasks.start(func(context.Context) {
				n.answerQuery(conn)
				<-slots
			})
		default:
			conn.Close()
		}
	}
}

// sleep returns after the duration, or once the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// answerQuery reads one query, answers it and closes the connection. Who has not the key gets no answer.
func (n *Node) answerQuery(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(queryTimeout))
	query := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, query); err != nil {
		return
	}
	nonce, err := membership.Open(n.key, query)
	if err != nil {
		return
	}
	snapshot := n.relay.snapshot()
	n.mutex.Lock()
	text := n.core.AnswerQuery(n.clock.now(), snapshot)
	n.mutex.Unlock()
	conn.Write(membership.Seal(n.key, append(nonce, text...))) // a peer that is gone needs no answer
	conn.(*net.TCPConn).CloseWrite()                           // the answer's end is told before the connection is closed
}
