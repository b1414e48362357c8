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
// followed by the text, sealed too, so that an answer can't be replayed for another query.

const (
	queryTimeout         = 500 * time.Millisecond // limit for a whole query, on both sides
	maxAnswerBytes       = 8 << 20
	maxConcurrentQueries = 8 // queries answered at the same time, so that hanging peers can't use up all descriptors
	nonceBytes           = 16
	acceptRetryInterval  = 50 * time.Millisecond // between a failed accept and the next one
)

// errNonceMismatch reports an answer with a nonce other than the query's.
var errNonceMismatch = errors.New("the answer is to another query")

// query asks another relay for its snapshot, and passes the answer or the error to the core.
func (n *Node) query(ctx context.Context, q Query) {
	text, err := sendQuery(ctx, n.key, q.Address)
	n.update(func(core *Core) []Action {
		core.ReceiveAnswer(q.Name, text, err)
		return nil
	})
}

// sendQuery sends a query to an address and returns the text of the answer.
func sendQuery(ctx context.Context, key []byte, address string) ([]byte, error) {
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
		return nil, errNonceMismatch
	}
	return body[nonceBytes:], nil
}

// acceptQueries answers other relays' queries until the socket is closed. While maxConcurrentQueries are being
// answered, further connections are closed without an answer.
func (n *Node) acceptQueries(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentQueries)
	for {
		conn, err := n.sockets.queries.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually out of file descriptors
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

// sleep returns after the duration, or earlier if the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// answerQuery reads one query, answers it and closes the connection. A query that is not sealed with the fleet's key
// gets no answer.
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
	conn.Write(membership.Seal(n.key, append(nonce, text...))) // on an error the peer is gone and needs no answer
	conn.(*net.TCPConn).CloseWrite()                           // marks the answer's end before the connection is closed
}
