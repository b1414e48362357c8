package live

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/faultdisk"
	"valeshift/internal/testbed/netem"
)

const lockFile = "lock" // the store's

// mates gives the machines their sides of the fleet: an operators' file each, with a folder as its disk and a
// way of its own to every other.
func (r *Run) mates() error {
	x := r.experiment
	if !x.Relays.Membership && !x.Relays.Disk && !x.Relays.AnnouncesReportAge {
		return nil
	}
	key := filepath.Join(r.dir, "key")
	if err := os.WriteFile(key, []byte("the key of the lab's fleet"), 0o600); err != nil {
		return err
	}
	hears := make([]string, len(r.relays))
	for i := range r.relays {
		var err error
		if hears[i], err = r.freeAddress(i); err != nil {
			return err
		}
	}
	voters, err := r.configureCoordinators()
	if err != nil {
		return err
	}
	for i, p := range r.relays {
		text := fmt.Sprintf("[log]\nlevel = \"info\"\n[servers]\nreport-age = \"%.0fms\"\n", x.MaxReportAge())
		if x.Relays.Membership {
			var seeds []string
			for j, to := range hears {
				if j == i {
					continue
				}
				w, err := netem.New(r.proxyHostAddress(i), to, x.Rand("way", 1000*(i+1)+j))
				if err != nil {
					return err
				}
				context.AfterFunc(r.ctx, w.Close)
				r.proxies[[2]int{i, j}] = append(r.proxies[[2]int{i, j}], w)
				seeds = append(seeds, fmt.Sprintf("%q", w.Address))
			}
			text += fmt.Sprintf("[peers]\nlisten = %q\nkey-file = %q\nzone = %q\nseeds = [%s]\nseeds-only = true\n",
				hears[i], key, experiment.Zone(i%x.Fleet.Zones), strings.Join(seeds, ", "))
		}
		if x.Relays.Coordinators > 0 {
			text += fmt.Sprintf("[council]\nvoters = [%s]\n", strings.Join(voters[i], ", "))
		}
		if x.Relays.Replicas > 0 {
			text += fmt.Sprintf("[holdings]\ncopies = %d\nremember = \"%.0fms\"\nstood = %t\n", x.Relays.Replicas,
				float64(x.Relays.MarkerRetention), x.Relays.ReplicatesAffinity)
		}
		if x.Relays.Disk {
			p.diskFolder = filepath.Join(r.dir, fmt.Sprintf("disk-%d", i))
			if err := os.MkdirAll(p.diskFolder, 0o700); err != nil {
				return err
			}
			text += fmt.Sprintf("[disk]\nfolder = %q\n", p.diskFolder)
		}
		p.operatorFile = filepath.Join(r.dir, fmt.Sprintf("operator-%d.toml", i))
		if err := os.WriteFile(p.operatorFile, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// early keeps a copy of each disk, for machines that come back with an older one.
func (r *Run) early() {
	for _, p := range r.relays {
		if p.diskFolder != "" {
			copyDisk(p.diskFolder, p.diskFolder+".older")
		}
	}
}

func copyDisk(from, to string) {
	os.RemoveAll(to)
	os.MkdirAll(to, 0o700)
	for _, name := range files(from) {
		if data, err := os.ReadFile(filepath.Join(from, name)); err == nil {
			os.WriteFile(filepath.Join(to, name), data, 0o600)
		}
	}
}

// files are those of a disk, but for its lock and the lab's own.
func files(disk string) (names []string) {
	all, _ := os.ReadDir(disk)
	for _, e := range all {
		if e.Name() != lockFile && e.Name() != faultdisk.FaultsFile {
			names = append(names, e.Name())
		}
	}
	return names
}

// DamageDisk does something to the disk of a relay that is down.
func (r *Run) DamageDisk(i int, what string) {
	p := r.relays[i]
	if p.diskFolder == "" {
		return
	}
	chance := rand.New(rand.NewSource(r.experiment.Rand("disk", 1000*i+p.launches).Int63()))
	os.WriteFile(filepath.Join(p.diskFolder, faultdisk.FaultsFile), []byte(what), 0o600)
	each := func(change func(data []byte) []byte) {
		for _, name := range files(p.diskFolder) {
			path := filepath.Join(p.diskFolder, name)
			if data, err := os.ReadFile(path); err == nil && len(data) > 0 {
				os.WriteFile(path, change(data), 0o600)
			}
		}
	}
	switch what {
	case "wiped":
		for _, name := range files(p.diskFolder) {
			os.Remove(filepath.Join(p.diskFolder, name))
		}
	case "torn":
		each(func(data []byte) []byte { return data[:chance.Intn(len(data))] })
	case "flipped":
		each(func(data []byte) []byte {
			for range 8 {
				data[chance.Intn(len(data))] ^= 1 << chance.Intn(8)
			}
			return data
		})
	case "older":
		copyDisk(p.diskFolder+".older", p.diskFolder)
	case "another's":
		copyDisk(r.relays[(i+1)%len(r.relays)].diskFolder, p.diskFolder)
	}
}

// fleets asks each relay that lives what it keeps and hears, at the end of a run.
func (r *Run) fleets() map[int][]byte {
	all := map[int][]byte{}
	for _, p := range r.relays {
		if !p.alive || p.operatorFile == "" {
			continue
		}
		if answer, err := http.Get("http://" + p.adminAddress + "/_fleet"); err == nil {
			all[p.number], _ = io.ReadAll(answer.Body)
			answer.Body.Close()
		}
	}
	return all
}
