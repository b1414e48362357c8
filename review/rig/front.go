package rig

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// Front is a stand-in for the front of a zone that has one relay. It takes the relay in once that has answered PING
// with PONG, asks ten times a second, and deals out no client before.
type Front struct {
	Relay   string
	takenIn atomic.Bool
}

// TakeIn waits until the relay has answered PING with PONG. Until then clients find no relay.
func (r *Rig) TakeIn(front *Front) {
	front.takenIn.Store(false)
	r.Await("the front has PONG from the relay", 10*time.Second, func() bool {
		time.Sleep(80 * time.Millisecond) // and 20 ms in Await
		conn, err := net.DialTimeout("tcp", front.Relay, time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write([]byte("PING\r\n")); err != nil {
			return false
		}
		answer, _ := bufio.NewReader(conn).ReadString('\n')
		return answer == "PONG\r\n"
	})
	front.takenIn.Store(true)
}

// Out takes the relay out: clients find none.
func (f *Front) Out() { f.takenIn.Store(false) }

// IsIn reports whether clients are dealt out to the relay.
func (f *Front) IsIn() bool { return f.takenIn.Load() }
