package live

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"valeshift/internal/testbed/experiment"
)

// coordinatorProcess is a coordinator on the machine of the relay with the same number: the two are killed and frozen
// together, and the emulated network treats them as one machine.
type coordinatorProcess struct {
	configFile string
	cmd        *exec.Cmd // nil: it does not run
}

// configureCoordinators writes the coordinators' configuration files. It returns the quoted addresses by which each
// relay reaches them, by relay number. Machines reach each other's coordinators through a proxy for each pair.
func (r *Run) configureCoordinators() (addresses [][]string, err error) {
	listen, err := r.coordinatorListenAddresses()
	if err != nil {
		return nil, err
	}
	for machine := range listen {
		process, err := r.configureCoordinator(machine, listen)
		if err != nil {
			return nil, err
		}
		r.coordinators = append(r.coordinators, process)
	}
	for relay := range r.relays {
		coordinatorAddresses, err := r.coordinatorAddressesFor(relay, listen)
		if err != nil {
			return nil, err
		}
		var quoted []string
		for _, address := range coordinatorAddresses {
			quoted = append(quoted, fmt.Sprintf("%q", address))
		}
		addresses = append(addresses, quoted)
	}
	return addresses, nil
}

func (r *Run) coordinatorListenAddresses() ([]string, error) {
	listen := make([]string, r.experiment.Relays.Coordinators)
	for machine := range listen {
		address, err := r.loopback.AssignAddress(machine)
		if err != nil {
			return nil, fmt.Errorf("address of coordinator %d: %w", machine, err)
		}
		listen[machine] = address
	}
	return listen, nil
}

// coordinatorAddressesFor returns the addresses by which a machine reaches each coordinator: its own directly, the
// others through proxies, which it starts.
func (r *Run) coordinatorAddressesFor(from int, listen []string) (addresses []string, err error) {
	for to := range listen {
		if from == to {
			addresses = append(addresses, listen[to])
			continue
		}
		proxy, err := r.newProxy(from, to, listen[to], 100000*(from+1)+to)
		if err != nil {
			return nil, fmt.Errorf("proxy from machine %d to coordinator %d: %w", from, to, err)
		}
		addresses = append(addresses, proxy.Address)
	}
	return addresses, nil
}

// configureCoordinator writes the configuration file of one machine's coordinator, and creates its data folder.
func (r *Run) configureCoordinator(machine int, listen []string) (*coordinatorProcess, error) {
	folder := filepath.Join(r.dir, fmt.Sprintf("voter-%d", machine))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("folder of coordinator %d: %w", machine, err)
	}
	adminAddress, err := r.loopback.AssignAddress(machine)
	if err != nil {
		return nil, fmt.Errorf("admin address of coordinator %d: %w", machine, err)
	}
	coordinatorAddresses, err := r.coordinatorAddressesFor(machine, listen)
	if err != nil {
		return nil, err
	}
	process := &coordinatorProcess{configFile: filepath.Join(r.dir, fmt.Sprintf("voter-%d.toml", machine))}
	text := r.coordinatorConfig(machine, folder, adminAddress, coordinatorAddresses)
	if err := os.WriteFile(process.configFile, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("configuration of coordinator %d: %w", machine, err)
	}
	return process, nil
}

// coordinatorConfig returns the content of a coordinator's configuration file, in TOML.
func (r *Run) coordinatorConfig(machine int, folder, adminAddress string, coordinatorAddresses []string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"v%d\"\n", machine)
	fmt.Fprintf(&text, "ops = %q\n", adminAddress)
	fmt.Fprintf(&text, "key-file = %q\n", filepath.Join(r.dir, "key"))
	fmt.Fprintf(&text, "folder = %q\n", folder)
	for to, address := range coordinatorAddresses {
		fmt.Fprintf(&text, "[[voter]]\nname = \"v%d\"\naddress = %q\n", to, address)
	}
	for zone := range r.experiment.Fleet.Zones {
		fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = %q\n", experiment.Zone(zone), r.experiment.Region(zone))
	}
	return text.String()
}

// startCoordinator starts the coordinator of a machine, if there is one and it does not run.
func (r *Run) startCoordinator(machine int) error {
	if machine >= len(r.coordinators) || r.coordinators[machine].cmd != nil {
		return nil
	}
	process := r.coordinators[machine]
	logFile := strings.TrimSuffix(process.configFile, ".toml") + ".log"
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of coordinator %d: %w", machine, err)
	}
	defer log.Close()
	cmd := exec.Command(r.coordinatorBinary(), process.configFile)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start coordinator %d: %w", machine, err)
	}
	process.cmd = cmd
	go cmd.Wait() // reaps the process once it ends
	return nil
}

// coordinatorBinary returns the path of the coordinator's binary, which is built together with the relay's and lies in
// the same folder.
func (r *Run) coordinatorBinary() string {
	name := strings.Replace(filepath.Base(r.relayBinary), "valeshift", "valeshift-coordinator", 1)
	return filepath.Join(filepath.Dir(r.relayBinary), name)
}

// killCoordinator kills the coordinator of a machine, if there is one and it runs.
func (r *Run) killCoordinator(machine int) {
	if machine >= len(r.coordinators) || r.coordinators[machine].cmd == nil {
		return
	}
	r.coordinators[machine].cmd.Process.Kill()
	r.coordinators[machine].cmd = nil
}
