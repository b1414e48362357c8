package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxReportDelay is the longest time that a load report takes to arrive, in milliseconds.
const maxReportDelay = 50.0

// effectSettings maps each effect to its name in a relay's settings.
var effectSettings = map[Effect]string{
	EffectReplayable: "idempotent",
	EffectReferenced: "deduplicated",
	EffectSingleUse:  "at_most_once",
}

// MaxReportAge returns the greatest age of load reports that relays are told, in milliseconds, or 0 if they are told
// none.
func (x *Experiment) MaxReportAge() float64 {
	if !x.Relays.AnnouncesReportAge {
		return 0
	}
	return float64(x.Fleet.MaxReportAge) + maxReportDelay
}

// RelaySettings returns the settings that the platform would give a relay in a zone, by their paths.
func (x *Experiment) RelaySettings(zone int) map[string]string {
	r, f := &x.Relays, &x.Fleet
	settings := map[string]string{
		"replicas-of-me": strconv.Itoa(r.Count),
		"zone":           strconv.Itoa(zone),
		"localities":     strings.Join(x.zoneNames(), ","),
		"discovery":      "automatic",
		"stats.how":      "probe",
		"stats.fields":   "cpu,rps,x0",

		"contract.cold-from":     formatNumber(f.SlowStartFrom),
		"contract.cold-ms":       formatNumber(float64(f.SlowStart)),
		"contract.tip-multiple":  formatNumber(f.OverloadMultiple),
		"contract.fall-ms":       formatNumber(float64(f.OverloadWindow)),
		"contract.ask-within-ms": "10000",

		"limits.probes":             strconv.FormatBool(r.LoadPolling),
		"limits.retry-after":        strconv.FormatBool(r.MaxRetryAfter > 0),
		"limits.max-retry-after-ms": formatNumber(float64(r.MaxRetryAfter)),
		"limits.most-setup-tries":   strconv.Itoa(r.MaxAttempts),
		"limits.connect-timeout-ms": "250",
		"limits.may-cancel":         "true",
	}
	x.addClassSettings(settings)
	tenants := x.Tenants()
	settings["parties.count"] = strconv.Itoa(len(tenants))
	for i, tenant := range tenants {
		settings[fmt.Sprintf("parties.%d.name", i)] = tenant
	}
	return settings
}

func (x *Experiment) addClassSettings(settings map[string]string) {
	classes := x.Classes()
	settings["categories.count"] = strconv.Itoa(len(classes))
	for i, t := range classes {
		path := fmt.Sprintf("categories.%d.", i)
		settings[path+"name"] = t.Class
		settings[path+"gain"] = formatNumber(t.PriorityWeight)
		settings[path+"effect"] = effectSettings[t.Effect]
		settings[path+"promised-time-ms"] = formatNumber(float64(t.LatencyObjective))
		settings[path+"hard-limit-ms"] = formatNumber(float64(t.HardLimit))
		settings[path+"group"] = "all"
		settings[path+"repeat-window-ms"] = "10000"
	}
	if len(classes) > 0 {
		hasGroups := slices.ContainsFunc(classes, func(t Traffic) bool { return t.Groups > 0 })
		settings["family-info.groups"] = strconv.FormatBool(hasGroups)
	}
}

// formatNumber formats a number as settings write it.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (x *Experiment) zoneNames() (names []string) {
	for zone := range x.Fleet.Zones {
		names = append(names, Zone(zone))
	}
	return names
}

// Classes returns one traffic of each class, the first where several have the same class.
func (x *Experiment) Classes() (classes []Traffic) {
	seen := map[string]bool{}
	for _, t := range x.Traffic {
		if !seen[t.Class] {
			seen[t.Class] = true
			classes = append(classes, t)
		}
	}
	return classes
}

// Tenants returns the names of all tenants, each once.
func (x *Experiment) Tenants() (names []string) {
	for _, t := range x.Traffic {
		if !slices.Contains(names, t.Tenant) {
			names = append(names, t.Tenant)
		}
	}
	return names
}
