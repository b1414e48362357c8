// Command 7 shows connections that are held and bring nothing back, as the relay is drained while its process is
// replaced.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"valeshift/review/stand"
)

const (
	servers    = 8                       // of which one is slow: 12% of them, the page's limit is 24%
	late       = 24                      // requests that are under way as the old process is told to end
	hardLimit  = 3000 * time.Millisecond // of the class
	usualTime  = 300 * time.Millisecond  // in which backends bring a connection up; 800 ms are promised
	slowTime   = 2850 * time.Millisecond // 9.5 times as long, the page's limit, and inside the hard limit
	drainLimit = 4 * time.Second         // from the drain call: no connection may be held that was not moved
	quietLimit = 7 * time.Second         // a connection that brings nothing back has to be ended or moved within it
	slack      = 50 * time.Millisecond   // each time limit is longer by this on sockets
	killAfter  = hardLimit + 700*time.Millisecond
)

func main() {
	record := stand.NewRecord(os.Args[1])
	var backends []*stand.Backend
	var slow atomic.Bool
	for i := range servers {
		b := stand.NewBackend(record, fmt.Sprintf("s-%d", i+1))
		b.Answer = func(r *stand.Request) {
			if i == 0 && slow.Load() {
				time.Sleep(slowTime)
			} else {
				time.Sleep(usualTime)
			}
			r.Serve()
		}
		backends = append(backends, b)
	}
	discovery := stand.NewDiscovery(record, backends...)
	platform := stand.NewPlatform(record, discovery)
	platform.Shared = true
	platform.Settings["replicas-of-me"] = 2
	class := platform.Settings["categories"].([]map[string]any)[0]
	class["promised-time-ms"] = 800.0
	class["hard-limit-ms"] = float64(hardLimit.Milliseconds())
	old := platform.Start()

	var all []*stand.Client
	for i := range 3 {
		c := stand.Open(record, platform.Listen, "feed", hardLimit, ",g=5c0f")
		if s := c.AwaitAnswer(3 * time.Second); !s.Up {
			record.Say("could not run: client %d was not served", i)
			record.Exit(stand.ExitNotRun)
		}
		all = append(all, c)
	}
	// Both processes accept clients once the new one is ready, so the late requests come just before.
	second := platform.Launch()
	slow.Store(true)
	for range late {
		all = append(all, stand.Open(record, platform.Listen, "feed", hardLimit, ",g=5c0f"))
	}
	platform.AwaitReady(second, 6*time.Second)
	old.Signal(syscall.SIGTERM)
	drainedAt := time.Now()
	if stand.Trouble() {
		drain(record, second)
	}
	go func() {
		select {
		case <-old.Done:
		case <-time.After(killAfter):
			old.Signal(syscall.SIGKILL)
		}
	}()
	time.Sleep(time.Until(drainedAt.Add(drainLimit + slack)))
	ping(record, platform.Listen)
	broken := false
	if stand.Trouble() {
		for _, c := range all {
			if s := c.State(); s.End == "" && !s.Moved {
				record.Say("client %s (up %v): held and not moved %v after the drain call", c.ID, s.Up, drainLimit)
				broken = true
			}
		}
	}
	time.Sleep(10 * time.Second)
	for _, c := range all {
		s := c.State()
		switch {
		case s.End == "" && !s.LineAt.IsZero() && time.Since(s.LineAt) > quietLimit+slack:
			record.Say("client %s: nothing has come back for %.1f s after its line, and its connection is still open", c.ID,
				time.Since(s.LineAt).Seconds())
			broken = true
		case s.End != "" && s.Up && !s.Moved:
			record.Say("client %s was cut off without MOVE", c.ID)
			broken = true
		}
	}
	if broken {
		record.Say("BROKEN lost: connections were held by a drained relay, and nothing came back on them")
		record.Exit(stand.ExitBroken)
	}
	record.Say("all connections were answered, moved or ended in time")
	record.Exit(stand.ExitHeld)
}

// drain calls the process as an operator does.
func drain(record *stand.Record, process *stand.Relay) {
	status, body := process.Call("POST", "/_lameduck/on")
	record.Printf("POST /_lameduck/on to process %d: %d %q", process.Number, status, body)
	if status != http.StatusOK {
		record.Say("could not run: the drain was refused")
		record.Exit(stand.ExitNotRun)
	}
}

// ping records what the front is answered.
func ping(record *stand.Record, address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		record.Printf("PING: %v", err)
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, "PING\r\n")
	conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 64)
	n, _ := conn.Read(answer)
	record.Printf("PING is answered %q", answer[:n])
}
