// Command 9 shows a connection that brings nothing back for over seven seconds, as the process is replaced meanwhile.
package main

import (
	"os"
	"slices"
	"syscall"
	"time"

	"valeshift/review/stand"
)

const (
	clients    = 6
	quietLimit = 7 * time.Second         // a connection that brings nothing back has to be ended or moved within it
	slack      = 50 * time.Millisecond   // each time limit is longer by this on sockets
	startAfter = 2500 * time.Millisecond // from the first line without an answer to the start of the second process
	termAfter  = 3800 * time.Millisecond // and to the old one's SIGTERM
	killAfter  = 2700 * time.Millisecond // from SIGTERM to SIGKILL: the longest deadline and 0.7 s
)

func main() {
	record := stand.NewRecord(os.Args[1])
	backends := []*stand.Backend{stand.NewBackend(record, "s-1"), stand.NewBackend(record, "s-2")}
	discovery := stand.NewDiscovery(record, backends...)
	platform := stand.NewPlatform(record, discovery)
	platform.Shared = true
	old := platform.Start()

	var all []*stand.Client
	for range clients {
		c := stand.Open(record, platform.Listen, "feed", 2*time.Second, ",g=5c0f")
		if s := c.AwaitAnswer(3 * time.Second); !s.Up {
			record.Say("could not run: a client was not served")
			record.Exit(stand.ExitNotRun)
		}
		all = append(all, c)
	}
	time.Sleep(3 * time.Second) // the first line of each has come back
	silent := all[:clients/2]
	if stand.Trouble() {
		for _, b := range backends {
			for _, r := range b.Requests() {
				if slices.ContainsFunc(silent, func(c *stand.Client) bool { return c.ID == r.ID }) {
					r.FallSilent()
				}
			}
		}
	}
	time.Sleep(1200 * time.Millisecond) // the second line has been sent
	firstLine := silent[0].State().LineAt
	if firstLine.IsZero() {
		firstLine = time.Now()
	}
	time.Sleep(time.Until(firstLine.Add(startAfter)))
	second := platform.Launch()
	platform.AwaitReady(second, 6*time.Second)
	time.Sleep(time.Until(firstLine.Add(termAfter)))
	old.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-old.Done:
		case <-time.After(killAfter):
			old.Signal(syscall.SIGKILL)
		}
	}()
	time.Sleep(6 * time.Second)

	broken := false
	for i, c := range all {
		s := c.State()
		switch {
		case i >= len(silent) || !stand.Trouble():
			if s.End != "" && !s.Moved {
				record.Say("client %s, whose backend answers, was cut off without MOVE", c.ID)
				broken = true
			}
		case s.End == "" || s.EndedAt.Sub(s.LineAt) > quietLimit+slack:
			end := time.Now()
			if s.End != "" {
				end = s.EndedAt
			}
			record.Say("client %s: nothing came back for %.2f s after its line (%.2f s after the last line that came back)",
				c.ID, end.Sub(s.LineAt).Seconds(), end.Sub(s.LastBack).Seconds())
			broken = true
		default:
			record.Say("client %s was moved %.2f s after its line", c.ID, s.EndedAt.Sub(s.LineAt).Seconds())
		}
	}
	if broken {
		record.Say("BROKEN lost: a connection without an answer was neither ended nor moved within %v", quietLimit)
		record.Exit(stand.ExitBroken)
	}
	record.Say("all connections were answered, moved or ended in time")
	record.Exit(stand.ExitHeld)
}
