// Package stand has small stand-ins for what a relay talks to: clients, backends, discovery and the platform. The tests
// of review/6 to review/10 use them. They follow the protocol page and keep to loopback addresses.
package stand

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a test.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Record is the protocol of one test run, which it writes to record.txt, and the list of what the run has to clean up.
type Record struct {
	mutex    sync.Mutex
	file     *os.File
	start    time.Time
	cleanups []func()
	ended    bool
	starting sync.Mutex // held while a process is started, and for good once the test ends
}

// NewRecord starts the record in the given folder. A signal to end the test ends what it started, too.
func NewRecord(dir string) *Record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	r := &Record{file: file, start: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.Printf("the test was told to end")
		r.Exit(ExitNotRun)
	}()
	return r
}

// Printf writes one line with the time since the start of the run.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf(format, arguments...)
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// Say is Printf that also writes to standard output.
func (r *Record) Say(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Cleanup has the function called at the end of the run.
func (r *Record) Cleanup(f func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// Exit cleans up and ends the test with the code.
func (r *Record) Exit(code int) {
	r.mutex.Lock()
	if r.ended {
		r.mutex.Unlock()
		select {} // another goroutine is about to exit
	}
	r.ended = true
	r.mutex.Unlock()
	r.starting.Lock() // so that no process is started behind the clean-up
	r.mutex.Lock()
	cleanups := r.cleanups
	r.mutex.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	r.Printf("exit code %d", code)
	r.file.Close()
	os.Exit(code)
}

// Started starts a process, and has stop called at the end of the run. No process is started any more once the test ends.
func (r *Record) Started(start func() error, stop func()) error {
	r.starting.Lock()
	defer r.starting.Unlock()
	if err := start(); err != nil {
		return err
	}
	r.Cleanup(stop)
	return nil
}

// Must ends the test as one that could not run if there is an error.
func (r *Record) Must(err error, what string) {
	if err != nil {
		r.mutex.Lock()
		ended := r.ended
		r.mutex.Unlock()
		if !ended {
			r.Say("could not run: %s: %v", what, err)
		}
		r.Exit(ExitNotRun)
	}
}

// Trouble reports whether the run has the disruption: TROUBLE=0 in the environment leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
