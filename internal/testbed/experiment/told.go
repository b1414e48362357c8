package experiment

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
)

// effects are the platform's words for what a second run of a link would do.
var effects = map[string]string{"replayable": "idempotent", "referenced": "deduplicated",
	"single-use": "at_most_once"}

// MaxReportAge is what relays are told of how old reports may be, ms; 0: nothing.
func (x *Experiment) MaxReportAge() float64 {
	if !x.Relays.AnnouncesReportAge {
		return 0
	}
	return float64(x.Fleet.MaxReportAge) + wayBack
}

const wayBack = 50.0 // ms of a report's way, at the most

// RelaySettings is what the platform would tell a relay of that zone, under the paths of its settings.
func (x *Experiment) RelaySettings(zone int) map[string]string {
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	f := x.Fleet
	v := map[string]string{
		"replicas-of-me": strconv.Itoa(x.Relays.Count), "zone": strconv.Itoa(zone), "discovery": "automatic",
		"stats.how": "probe", "stats.fields": "cpu,rps,x0",
		"contract.cold-from": number(f.SlowStartFrom), "contract.cold-ms": number(float64(f.SlowStart)),
		"contract.tip-multiple": number(f.OverloadMultiple), "contract.fall-ms": number(float64(f.OverloadWindow)),
		"contract.ask-within-ms": "10000", "limits.probes": strconv.FormatBool(x.Relays.LoadPolling),
		"limits.retry-after":        strconv.FormatBool(x.Relays.MaxRetryAfter > 0),
		"limits.max-retry-after-ms": number(float64(x.Relays.MaxRetryAfter)),
		"limits.most-setup-tries":   strconv.Itoa(x.Relays.MaxAttempts), "limits.connect-timeout-ms": "250",
		"limits.may-cancel": "true",
	}
	var zones []string
	for z := range f.Zones {
		zones = append(zones, Zone(z))
	}
	v["localities"] = strings.Join(zones, ",")
	categories, parties := x.Classes(), x.Tenants()
	v["categories.count"] = strconv.Itoa(len(categories))
	for i, t := range categories {
		at := fmt.Sprintf("categories.%d.", i)
		v[at+"name"], v[at+"gain"], v[at+"effect"] = t.Class, number(t.PriorityWeight), effects[t.Effect]
		v[at+"promised-time-ms"], v[at+"hard-limit-ms"] = number(float64(t.LatencyObjective)), number(float64(t.HardLimit))
		v[at+"group"], v[at+"repeat-window-ms"] = "all", "10000"
		v["family-info.groups"] = strconv.FormatBool(v["family-info.groups"] == "true" || t.Groups > 0)
	}
	v["parties.count"] = strconv.Itoa(len(parties))
	for i, p := range parties {
		v[fmt.Sprintf("parties.%d.name", i)] = p
	}
	return v
}

// Classes are the kinds of traffic by the name of their category; the first of a name says what it is.
func (x *Experiment) Classes() (all []Traffic) {
	seen := map[string]bool{}
	for _, t := range x.Traffic {
		if !seen[t.Class] {
			seen[t.Class] = true
			all = append(all, t)
		}
	}
	return all
}

// Tenants are the parties' names.
func (x *Experiment) Tenants() (all []string) {
	seen := map[string]bool{}
	for _, t := range x.Traffic {
		if !seen[t.Tenant] {
			seen[t.Tenant] = true
			all = append(all, t.Tenant)
		}
	}
	return all
}

// Rand is a source of the experiment's own for one use, so that what one part draws moves no other.
func (x *Experiment) Rand(use string, number int) *rand.Rand {
	seed := x.Seed
	for _, c := range use + strconv.Itoa(number) {
		seed = (seed ^ uint64(c)) * 0x9e3779b97f4a7c15
		seed ^= seed >> 29
	}
	return rand.New(rand.NewSource(int64(seed)))
}
