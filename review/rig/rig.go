// Package rig has what the review's cases share: the program's processes, and stand-ins for discovery, backends and
// clients that keep to the protocol page. Every address is a loopback address.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Rig is one run of a case: its record, its folder and the processes that it started.
type Rig struct {
	Trouble bool   // whether the case's disruption takes place
	Dir     string // temporary folder, removed at the end

	root    string
	started time.Time
	mutex   sync.Mutex
	record  *os.File
	procs   []*Process
}

// Run runs a case and exits with its result. The first argument is the folder for record.txt; the working directory
// has to be the repository's root. TROUBLE=0 in the environment leaves the disruption out. A case that takes longer
// than the limit could not run.
func Run(limit time.Duration, run func(r *Rig) int) {
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	code := NotRun
	defer func() { os.Exit(code) }()
	var err error
	if r.root, err = os.Getwd(); err != nil {
		return
	}
	if r.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		return
	}
	if r.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return
	}
	defer os.RemoveAll(r.Dir)
	defer r.stopAll()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if problem := recover(); problem != nil {
				r.Note("the case could not run: %v", problem)
				result <- NotRun
			}
		}()
		r.Note("disruption: %t", r.Trouble)
		result <- run(r)
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	select {
	case code = <-result:
	case <-time.After(limit):
		r.Note("not done after %s", limit)
	case <-ended:
		r.Note("ended by a signal")
	}
	r.Note("result: exit code %d", code)
}

// Note writes a line to the record, with the milliseconds since the start.
func (r *Rig) Note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, arguments...), r.Dir, "TMP")
	fmt.Fprintf(r.record, "%8.1f  %s\n", float64(time.Since(r.started).Microseconds())/1000, text)
}

// Check ends the case as one that could not run if there is an error.
func Check(err error) {
	if err != nil {
		panic(err)
	}
}

// Await waits until the condition holds. Otherwise the case could not run.
func (r *Rig) Await(what string, within time.Duration, holds func() bool) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			r.Note("seen: %s", what)
			return
		}
	}
	panic("not seen within " + within.String() + ": " + what)
}

// FreeAddress returns a loopback address whose port is free for both TCP and UDP.
func FreeAddress() string {
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Check(err)
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		listener.Close()
		if err == nil {
			packets.Close()
			return address
		}
	}
	panic("no free port")
}

// Write writes a file in the rig's folder and returns its path.
func (r *Rig) Write(name, text string) string {
	path := filepath.Join(r.Dir, name)
	Check(os.MkdirAll(filepath.Dir(path), 0o700))
	Check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Process is one process of the project's programs.
type Process struct {
	rig  *Rig
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// RunCommand returns the command by which the deploy file starts a relay.
func (r *Rig) RunCommand() string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	Check(err)
	found := runLine.FindSubmatch(text)
	if found == nil {
		panic("the deploy file has no run")
	}
	return string(found[1])
}

// Start starts a command by /bin/sh -c from the repository's root, as the platform does. Its log goes to the rig's
// folder.
func (r *Rig) Start(name, command string, environment ...string) *Process {
	log, err := os.OpenFile(filepath.Join(r.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Check(err)
	defer log.Close()
	p := &Process{rig: r, Name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	Check(p.cmd.Start())
	r.Note("%s: started by %q", name, command)
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	r.mutex.Lock()
	r.procs = append(r.procs, p)
	r.mutex.Unlock()
	return p
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
	p.rig.Note("%s: killed (SIGKILL)", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.rig.Note("%s: sent %s", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Log returns what the processes of that name have logged.
func (r *Rig) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.Dir, name+".log"))
	return string(text)
}

func (r *Rig) stopAll() {
	r.mutex.Lock()
	procs := r.procs
	r.mutex.Unlock()
	for _, p := range procs {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// GetJSON fetches a JSON document over HTTP, and reports whether that succeeded.
func GetJSON(address, path string, into any) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(into) == nil
}
