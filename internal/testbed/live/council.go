package live

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/netem"
)

// seat is a voter's process on a relay's machine: what kills one kills both, and the ways between machines
// are one.
type seat struct {
	file string
	cmd  *exec.Cmd
}

// council makes the voters' files, with a way of its own to each other, and gives where each relay reaches
// them.
func (r *Run) council() (voters [][]string, err error) {
	n := r.experiment.Relays.Coordinators
	hears := make([]string, n)
	for k := range hears {
		if hears[k], err = r.freeAddress(k); err != nil {
			return nil, err
		}
	}
	reach := func(from, to int) (string, error) {
		if from == to {
			return hears[to], nil
		}
		w, err := netem.New(r.proxyHostAddress(from), hears[to], r.experiment.Rand("way", 100000*(from+1)+to))
		if err != nil {
			return "", err
		}
		context.AfterFunc(r.ctx, w.Close)
		r.proxies[[2]int{from, to}] = append(r.proxies[[2]int{from, to}], w)
		return w.Address, nil
	}
	for k := range n {
		folder := filepath.Join(r.dir, fmt.Sprintf("voter-%d", k))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
		ops, err := r.freeAddress(k)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf("name = \"v%d\"\nops = %q\nkey-file = %q\nfolder = %q\n", k, ops, filepath.Join(r.dir,
			"key"),
			folder)
		for to := range n {
			at, err := reach(k, to)
			if err != nil {
				return nil, err
			}
			text += fmt.Sprintf("[[voter]]\nname = \"v%d\"\naddress = %q\n", to, at)
		}
		for z := range r.experiment.Fleet.Zones {
			text += fmt.Sprintf("[[zone]]\nname = %q\nregion = %q\n", experiment.Zone(z), r.experiment.Region(z))
		}
		s := &seat{file: filepath.Join(r.dir, fmt.Sprintf("voter-%d.toml", k))}
		if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		r.seats = append(r.seats, s)
	}
	for i := range r.relays {
		var all []string
		for k := range n {
			at, err := reach(i, k)
			if err != nil {
				return nil, err
			}
			all = append(all, fmt.Sprintf("%q", at))
		}
		voters = append(voters, all)
	}
	return voters, nil
}

// vote starts the voter of a machine, where there is one and it does not run.
func (r *Run) vote(k int) error {
	if k >= len(r.seats) || r.seats[k].cmd != nil {
		return nil
	}
	s := r.seats[k]
	log, err := os.OpenFile(strings.TrimSuffix(s.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// Of the same build as the relays, beside them.
	name := strings.Replace(filepath.Base(r.relayBinary), "valeshift", "valeshift-coordinator", 1)
	s.cmd = exec.Command(filepath.Join(filepath.Dir(r.relayBinary), name), s.file)
	s.cmd.Stderr = log
	if err := s.cmd.Start(); err != nil {
		s.cmd = nil
		return fmt.Errorf("voter: %w", err)
	}
	cmd := s.cmd
	go cmd.Wait()
	return nil
}

func (r *Run) unseat(k int) {
	if k < len(r.seats) && r.seats[k].cmd != nil {
		r.seats[k].cmd.Process.Kill()
		r.seats[k].cmd = nil
	}
}
