// Command 6 shows a relay that crashes at the end of a drain, as the front asks it at that moment.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"valeshift/review/stand"
)

const (
	relays    = 100                     // each drained by itself, one time after the other
	runFor    = 96 * time.Second        // in all
	drainTime = 3900 * time.Millisecond // from the drain call to the call that ends it
	pause     = 2 * time.Second         // yes is due again within it
	pingEvery = 100 * time.Millisecond  // the front asks ten times a second
	hardLimit = 3200.0                  // of the class, in milliseconds
)

func main() {
	record := stand.NewRecord(os.Args[1])
	backends := []*stand.Backend{stand.NewBackend(record, "s-1"), stand.NewBackend(record, "s-2")}
	discovery := stand.NewDiscovery(record, backends...)
	var crashed, drains atomic.Int64
	var all sync.WaitGroup
	for i := range relays {
		platform := stand.NewPlatform(record, discovery)
		platform.Name = fmt.Sprintf("n%d", i)
		platform.Settings["replicas-of-me"] = relays
		platform.Sockets = 256
		platform.Settings["categories"].([]map[string]any)[0]["hard-limit-ms"] = hardLimit
		relay := platform.Launch()
		all.Go(func() {
			platform.AwaitReady(relay, 30*time.Second)
			stop := make(chan struct{})
			go ping(record, platform.Name, platform.Listen, stop)
			defer close(stop)
			time.Sleep(time.Duration(rand.Int63n(int64(time.Second))))
			for start := time.Now(); time.Since(start) < runFor-drainTime-pause && crashed.Load() == 0; {
				if stand.Trouble() {
					status, body := relay.Call("POST", "/_lameduck/on")
					record.Printf("drain of %s: %d %q", platform.Name, status, body)
					if status != http.StatusOK && relay.Running() {
						record.Say("could not run: the drain of %s was refused", platform.Name)
						record.Exit(stand.ExitNotRun)
					}
					drains.Add(1)
				}
				time.Sleep(drainTime)
				if stand.Trouble() && relay.Running() {
					relay.Call("POST", "/_lameduck/off")
				}
				if !relay.Running() {
					record.Say("the process of %s ended while it was drained; only a restart ends it", platform.Name)
					crashed.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	record.Say("%d drains of %d relays, %d crashed", drains.Load(), relays, crashed.Load())
	if crashed.Load() > 0 {
		record.Say("BROKEN crash: a drained relay has to run on")
		record.Exit(stand.ExitBroken)
	}
	record.Exit(stand.ExitHeld)
}

// ping asks the relay as the front does, each time on a connection of its own, and records when the answer changes.
func ping(record *stand.Record, name, address string, stop chan struct{}) {
	var mutex sync.Mutex
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(pingEvery):
		}
		go func() {
			answer := ask(address)
			mutex.Lock()
			defer mutex.Unlock()
			if answer != last {
				last = answer
				record.Printf("PING to %s: %q", name, answer)
			}
		}()
	}
}

func ask(address string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	fmt.Fprint(conn, "PING\r\n")
	conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 64)
	n, err := conn.Read(answer)
	if err != nil {
		return "no answer"
	}
	return string(answer[:n])
}
