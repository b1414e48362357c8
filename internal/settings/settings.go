// Package settings hands each part of the module its own few settings. They come as values under paths, from
// the wire's pairs or from flattened JSON, so that both drivers build the same module. It keeps nothing
// itself.
package settings

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"strings"

	"valeshift/balancer"
)

// Reader looks settings up by path and keeps the first that was needed and not there.
type Reader struct {
	values map[string]string
	err    error
}

// NewReader reads from values under paths.
func NewReader(values map[string]string) *Reader { return &Reader{values: values} }

// Err tells which setting was needed and not there, or not of its kind.
func (p *Reader) Err() error { return p.err }

// Text reads a setting as it stands; one that is not there is empty.
func (p *Reader) Text(path string) string { return p.values[path] }

func (p *Reader) fail(path, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s expected, got %q", path, want, p.values[path])
	}
}

// Float reads a setting that a decision needs.
func (p *Reader) Float(path string) float64 {
	v, err := strconv.ParseFloat(p.values[path], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		p.fail(path, "a number")
		return 0
	}
	return v
}

// FloatOr reads a setting that the wire lets stay away.
func (p *Reader) FloatOr(path string, otherwise float64) float64 {
	if _, ok := p.values[path]; !ok {
		return otherwise
	}
	return p.Float(path)
}

// Count reads a whole number that a decision needs.
func (p *Reader) Count(path string) int {
	v := p.Float(path)
	if v != math.Trunc(v) || v > 1e6 {
		p.fail(path, "a count")
		return 0
	}
	return int(v)
}

// Bool reads true or false.
func (p *Reader) Bool(path string) bool {
	switch p.values[path] {
	case "true":
		return true
	case "false":
	default:
		p.fail(path, "true or false")
	}
	return false
}

// Enum reads one of the words given, as its place among them.
func (p *Reader) Enum(path string, words ...string) int {
	for i, w := range words {
		if p.values[path] == w {
			return i
		}
	}
	p.fail(path, "one of "+strings.Join(words, ", "))
	return 0
}

// RecordIndexes reads the names of a list of records as the place of each, which is its number in the module.
func (p *Reader) RecordIndexes(path string) map[string]int {
	var names []string
	for i := range int(min(p.FloatOr(path+".count", 0), 1e6)) {
		names = append(names, p.values[fmt.Sprintf("%s.%d.name", path, i)])
	}
	return places(names)
}

// ListIndexes reads a plain list of names as the place of each.
func (p *Reader) ListIndexes(path string) map[string]int {
	return places(strings.Split(p.values[path], ","))
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// ReportFields reads which values a load report has; none where nothing reports.
func (p *Reader) ReportFields() []string {
	if p.Enum("stats.how", "none", "answers", "probe") > 0 {
		return strings.Split(p.values["stats.fields"], ",")
	}
	return nil
}

// MaxRetryAfter reads the longest wait that clients follow, or 0 where none may be told.
func (p *Reader) MaxRetryAfter() float64 {
	if p.Bool("limits.retry-after") {
		return p.Float("limits.max-retry-after-ms")
	}
	return 0
}

// budget reads the budget of setup tries beyond a link's first; without its three settings there is none.
func (p *Reader) budget() *balancer.RetryBudget {
	paths := [...]string{"contract.free-resends", "contract.extra-share", "contract.extra-window-ms"}
	there := 0
	for _, path := range paths {
		if _, ok := p.values[path]; ok {
			there++
		}
	}
	if there == 0 {
		return nil
	}
	free, share, window := p.Float(paths[0]), p.Float(paths[1]), p.Float(paths[2])
	if window <= 0 {
		p.fail(paths[2], "a length over 0")
	}
	return balancer.NewRetryBudget(free, share, window)
}

// BuildBalancer builds the module of one relay.
func (p *Reader) BuildBalancer(seed uint64) (*balancer.Balancer, error) {
	chance := rand.New(rand.NewSource(int64(seed)))
	relays := max(1, p.Count("replicas-of-me"))

	n := p.Count("categories.count")
	var categories []balancer.Class
	for i := 0; i < n && p.err == nil; i++ {
		at := fmt.Sprintf("categories.%d.", i)
		c := balancer.Class{
			LatencyObjective: p.Float(at + "promised-time-ms"),
			PriorityWeight:   p.Float(at + "gain"),
			Idempotency:      balancer.Idempotency(p.Enum(at+"effect", "idempotent", "deduplicated", "at_most_once")),
		}
		if c.Idempotency == balancer.IdempotentByKey {
			c.Scope = balancer.DeduplicationScope(p.Enum(at+"group", "all", "zone", "cell"))
			c.DeduplicationWindow = p.Float(at + "repeat-window-ms")
		}
		categories = append(categories, c)
	}

	n = int(min(p.FloatOr("parties.count", 0), 1e6))
	var listed []string
	if list := p.values["family-info.tenant-quota-connections"]; list != "" {
		listed = strings.Split(list, ",")
	}
	quotas := make([]float64, n)
	for i := range min(n, len(listed)) {
		links, err := strconv.ParseFloat(listed[i], 64)
		if err != nil || math.IsNaN(links) {
			p.fail("family-info.tenant-quota-connections", "numbers")
		}
		quotas[i] = links
	}

	asked := p.Enum("discovery", "automatic", "subscribe") == 1
	askWithin := 0.0
	if asked {
		askWithin = p.Float("contract.ask-within-ms")
	}
	fields, maxBack := p.ReportFields(), p.MaxRetryAfter()
	slowStart := balancer.NewSlowStart(balancer.SlowStartConfig{
		InitialCapacity:  p.Float("contract.cold-from"),
		Duration:         p.Float("contract.cold-ms"),
		OverloadMultiple: p.Float("contract.tip-multiple"),
		OverloadSpan:     p.Float("contract.fall-ms"),
		Relays:           relays,
	})
	poller := balancer.NewLoadPoller(p.Bool("limits.probes"), p.FloatOr("fees.probe", 0), fields)
	attempts := balancer.NewAttemptPolicy(categories, p.Count("limits.most-setup-tries"), maxBack, relays, p.budget())
	sessionQuotas := balancer.NewQuotas(categories, quotas, p.FloatOr("beyond-share-gain", 1), relays)
	zone := p.Count("zone")
	if p.err != nil {
		return nil, p.err
	}
	return balancer.New(balancer.Config{
		Endpoints:            balancer.NewEndpointSet(asked, askWithin),
		RoundRobin:           balancer.NewRoundRobin(chance),
		SlowStart:            slowStart,
		Poller:               poller,
		Attempts:             attempts,
		Quotas:               sessionQuotas,
		LocalZone:            zone,
		CrossZoneFee:         p.FloatOr("fees.cross-zone", 0),
		UsesAffinityGroups:   p.values["family-info.groups"] == "true",
		SessionsOutliveRelay: p.values["family-info.mode"] == "pass",
	}), nil
}
