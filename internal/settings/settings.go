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

// Pairs looks settings up by path and keeps the first that was needed and not there.
type Pairs struct {
	values map[string]string
	err    error
}

// Over reads from values under paths.
func Over(values map[string]string) *Pairs { return &Pairs{values: values} }

// Err tells which setting was needed and not there, or not of its kind.
func (p *Pairs) Err() error { return p.err }

// Text reads a setting as it stands; one that is not there is empty.
func (p *Pairs) Text(path string) string { return p.values[path] }

func (p *Pairs) fail(path, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s expected, got %q", path, want, p.values[path])
	}
}

// Number reads a setting that a decision needs.
func (p *Pairs) Number(path string) float64 {
	v, err := strconv.ParseFloat(p.values[path], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		p.fail(path, "a number")
		return 0
	}
	return v
}

// Optional reads a setting that the wire lets stay away.
func (p *Pairs) Optional(path string, otherwise float64) float64 {
	if _, ok := p.values[path]; !ok {
		return otherwise
	}
	return p.Number(path)
}

// Count reads a whole number that a decision needs.
func (p *Pairs) Count(path string) int {
	v := p.Number(path)
	if v != math.Trunc(v) || v > 1e6 {
		p.fail(path, "a count")
		return 0
	}
	return int(v)
}

// Flag reads true or false.
func (p *Pairs) Flag(path string) bool {
	switch p.values[path] {
	case "true":
		return true
	case "false":
	default:
		p.fail(path, "true or false")
	}
	return false
}

// Word reads one of the words given, as its place among them.
func (p *Pairs) Word(path string, words ...string) int {
	for i, w := range words {
		if p.values[path] == w {
			return i
		}
	}
	p.fail(path, "one of "+strings.Join(words, ", "))
	return 0
}

// Names reads the names of a list of records as the place of each, which is its number in the module.
func (p *Pairs) Names(path string) map[string]int {
	var names []string
	for i := range int(min(p.Optional(path+".count", 0), 1e6)) {
		names = append(names, p.values[fmt.Sprintf("%s.%d.name", path, i)])
	}
	return places(names)
}

// Places reads a plain list of names as the place of each.
func (p *Pairs) Places(path string) map[string]int {
	return places(strings.Split(p.values[path], ","))
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Fields reads which values a load report has; none where nothing reports.
func (p *Pairs) Fields() []string {
	if p.Word("stats.how", "none", "answers", "probe") > 0 {
		return strings.Split(p.values["stats.fields"], ",")
	}
	return nil
}

// MaxBack reads the longest wait that clients follow, or 0 where none may be told.
func (p *Pairs) MaxBack() float64 {
	if p.Flag("limits.retry-after") {
		return p.Number("limits.max-retry-after-ms")
	}
	return 0
}

// budget reads the budget of setup tries beyond a link's first; without its three settings there is none.
func (p *Pairs) budget() *balancer.Budget {
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
	free, share, window := p.Number(paths[0]), p.Number(paths[1]), p.Number(paths[2])
	if window <= 0 {
		p.fail(paths[2], "a length over 0")
	}
	return balancer.NewBudget(free, share, window)
}

// Assemble builds the module of one relay.
func (p *Pairs) Assemble(seed uint64) (*balancer.Balancer, error) {
	chance := rand.New(rand.NewSource(int64(seed)))
	relays := max(1, p.Count("replicas-of-me"))

	n := p.Count("categories.count")
	var categories []balancer.Category
	for i := 0; i < n && p.err == nil; i++ {
		at := fmt.Sprintf("categories.%d.", i)
		c := balancer.Category{
			PromisedTime: p.Number(at + "promised-time-ms"),
			Gain:         p.Number(at + "gain"),
			Effect:       balancer.Effect(p.Word(at+"effect", "idempotent", "deduplicated", "at_most_once")),
		}
		if c.Effect == balancer.Referenced {
			c.Scope = balancer.Scope(p.Word(at+"group", "all", "zone", "cell"))
			c.RepeatWindow = p.Number(at + "repeat-window-ms")
		}
		categories = append(categories, c)
	}

	n = int(min(p.Optional("parties.count", 0), 1e6))
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

	asked := p.Word("discovery", "automatic", "subscribe") == 1
	askWithin := 0.0
	if asked {
		askWithin = p.Number("contract.ask-within-ms")
	}
	fields, maxBack := p.Fields(), p.MaxBack()
	warmup := balancer.NewWarmup(p.Number("contract.cold-from"), p.Number("contract.cold-ms"),
		p.Number("contract.tip-multiple"), p.Number("contract.fall-ms"), relays)
	probing := balancer.NewProbing(p.Flag("limits.probes"), p.Optional("fees.probe", 0), fields)
	effects := balancer.NewEffects(categories, p.Count("limits.most-setup-tries"), maxBack, relays, p.budget())
	shares := balancer.NewShares(categories, quotas, p.Optional("beyond-share-gain", 1), relays)
	zone := p.Count("zone")
	if p.err != nil {
		return nil, p.err
	}
	return balancer.New(balancer.NewRoster(asked, askWithin), balancer.NewTurns(chance), warmup, probing, effects, shares,
		zone, p.Optional("fees.cross-zone", 0), p.values["family-info.groups"] == "true",
		p.values["family-info.mode"] == "pass"), nil
}
