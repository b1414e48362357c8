// Command 8 shows clients that are cut off, with their lines, as hundreds of short lines come back from a backend at once
// with some of its own.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"valeshift/review/stand"
)

const (
	clients = 8
	usual   = 20  // commands that a client sends at once without the disruption
	many    = 900 // and with it: hundreds, each a line of up to 5 bytes
	every   = 4   // the backend tells the connection's load, which follows the commands, after so many of them
	within  = 5 * time.Second
)

func main() {
	record := stand.NewRecord(os.Args[1])
	backends := []*stand.Backend{stand.NewBackend(record, "s-1"), stand.NewBackend(record, "s-2")}
	for _, b := range backends {
		b.Answer = func(r *stand.Request) {
			fmt.Fprintf(r.Conn, "UP %s-%s\r\n", b.Name, r.ID)
			returnLines(record, r)
		}
	}
	discovery := stand.NewDiscovery(record, backends...)
	platform := stand.NewPlatform(record, discovery)
	platform.Start()

	lines := usual
	if stand.Trouble() {
		lines = many
	}
	results := make(chan bool)
	for i := range clients {
		go func() { results <- play(record, platform.Listen, i, lines) }()
	}
	broken := 0
	for range clients {
		if !<-results {
			broken++
		}
	}
	record.Say("%d of %d clients that sent %d commands at once were cut off without MOVE, or lost lines", broken, clients, lines)
	if broken > 0 {
		record.Say("BROKEN lost: connections were cut off without MOVE although their backends answer")
		record.Exit(stand.ExitBroken)
	}
	record.Exit(stand.ExitHeld)
}

// returnLines brings every line back at once, and tells the load as it changes: all of that with one write for the lines
// that have come.
func returnLines(record *stand.Record, r *stand.Request) {
	received := 0
	for {
		line, err := r.Reader.ReadBytes('\n')
		if err != nil {
			record.Printf("backend %s: %s: %d lines came, then %v", r.Backend.Name, r.ID, received, err)
			return
		}
		var answer []byte
		for {
			answer = append(answer, line...)
			received++
			if received%every == 0 {
				answer = fmt.Appendf(answer, "LOAD %d\r\n", received)
			}
			if r.Reader.Buffered() == 0 {
				break
			}
			if line, err = r.Reader.ReadBytes('\n'); err != nil {
				break
			}
		}
		if _, err := r.Conn.Write(answer); err != nil {
			record.Printf("backend %s: %s: %d lines came, then %v", r.Backend.Name, r.ID, received, err)
			return
		}
		record.Printf("backend %s: %s: %d lines have come, %d bytes went back", r.Backend.Name, r.ID, received, len(answer))
	}
}

// play opens a connection, sends the lines at once, and reports whether all came back unchanged and in order.
func play(record *stand.Record, address string, number, lines int) bool {
	id := fmt.Sprintf("%016x", uint64(0x9b1f03aa00000001)+uint64(number))
	conn, err := net.DialTimeout("tcp", address, time.Second)
	record.Must(err, "connect")
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s %s c=feed,t=one,d=2000,g=5c0f\r\n", id, id)
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := reader.ReadString('\n')
	record.Printf("client %s is answered %q (%v)", id, answer, err)
	if !strings.HasPrefix(answer, "UP ") {
		record.Say("could not run: client %s was not served", id)
		record.Exit(stand.ExitNotRun)
	}
	var all strings.Builder
	for line := range lines {
		fmt.Fprintf(&all, "%d\r\n", line)
	}
	record.Printf("client %s sends %d commands, %d bytes, at once", id, lines, all.Len())
	if _, err := conn.Write([]byte(all.String())); err != nil {
		record.Printf("client %s: %v", id, err)
	}
	conn.SetReadDeadline(time.Now().Add(within))
	for line := range lines {
		got, err := reader.ReadString('\n')
		for strings.HasPrefix(got, "LOAD ") {
			got, err = reader.ReadString('\n')
		}
		if got != fmt.Sprintf("%d\r\n", line) {
			record.Say("client %s: %d of %d lines came back, then %q and %v", id, line, lines, got, err)
			return false
		}
	}
	record.Printf("client %s: all %d lines came back", id, lines)
	return true
}
