package live

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"valeshift/internal/testbed/experiment"
)

// fleetKey is the content of the key file that all relays and coordinators of a run share.
const fleetKey = "the key of the testbed's fleet"

// configureFleet writes each relay's operators' file if the experiment has relays know of each other, have disks or be
// told how old load reports may be. A relay's disk is a folder, and it reaches each other relay through a proxy.
func (r *Run) configureFleet() error {
	relays := r.experiment.Relays
	if !relays.Membership && !relays.Disk && !relays.AnnouncesReportAge {
		return nil
	}
	keyFile := filepath.Join(r.dir, "key")
	if err := os.WriteFile(keyFile, []byte(fleetKey), 0o600); err != nil {
		return err
	}
	addresses := make([]string, len(r.relays))
	for i := range r.relays {
		address, err := r.loopback.AssignAddress(i)
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	voters, err := r.configureCoordinators()
	if err != nil {
		return err
	}
	for i := range r.relays {
		if err := r.configureRelay(i, keyFile, addresses, voters); err != nil {
			return err
		}
	}
	return nil
}

// configureRelay writes one relay's operators' file. Addresses are those where the relays listen for each other, and
// voters the quoted addresses by which each relay reaches the coordinators, both by relay number.
func (r *Run) configureRelay(i int, keyFile string, addresses []string, voters [][]string) error {
	relays := r.experiment.Relays
	text := fmt.Sprintf("[log]\nlevel = \"info\"\n[servers]\nreport-age = \"%.0fms\"\n", r.experiment.MaxReportAge())
	if relays.Membership {
		seeds, err := r.proxiesToOthers(i, addresses)
		if err != nil {
			return err
		}
		zone := experiment.Zone(i % r.experiment.Fleet.Zones)
		text += fmt.Sprintf("[peers]\nlisten = %q\nkey-file = %q\nzone = %q\nseeds = [%s]\nseeds-only = true\n",
			addresses[i], keyFile, zone, strings.Join(seeds, ", "))
	}
	if relays.Coordinators > 0 {
		text += fmt.Sprintf("[council]\nvoters = [%s]\n", strings.Join(voters[i], ", "))
	}
	if relays.Replicas > 0 {
		text += fmt.Sprintf("[holdings]\ncopies = %d\nremember = \"%.0fms\"\nstood = %t\n", relays.Replicas,
			float64(relays.MarkerRetention), relays.ReplicatesAffinity)
	}
	p := r.relays[i]
	if relays.Disk {
		p.diskFolder = filepath.Join(r.dir, fmt.Sprintf("disk-%d", i))
		if err := os.MkdirAll(p.diskFolder, 0o700); err != nil {
			return err
		}
		text += fmt.Sprintf("[disk]\nfolder = %q\n", p.diskFolder)
	}
	p.operatorFile = filepath.Join(r.dir, fmt.Sprintf("operator-%d.toml", i))
	return os.WriteFile(p.operatorFile, []byte(text), 0o600)
}

// proxiesToOthers starts a proxy from a relay to each other relay, and returns the proxies' quoted addresses.
func (r *Run) proxiesToOthers(from int, addresses []string) ([]string, error) {
	var seeds []string
	for to, address := range addresses {
		if to == from {
			continue
		}
		proxy, err := r.newProxy(from, to, address, 1000*(from+1)+to)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, fmt.Sprintf("%q", proxy.Address))
	}
	return seeds, nil
}

// fleetStatuses returns the answers to GET /_fleet by relay number. It leaves out relays that are not alive, have no
// operators' file or can't be reached.
func (r *Run) fleetStatuses() map[int][]byte {
	statuses := map[int][]byte{}
	for _, p := range r.relays {
		if !p.alive || p.operatorFile == "" {
			continue
		}
		answer, err := http.Get("http://" + p.adminAddress + "/_fleet")
		if err != nil {
			continue
		}
		statuses[p.number], _ = io.ReadAll(answer.Body) // on a read error, the part that was read is kept
		answer.Body.Close()
	}
	return statuses
}
