package adapter

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"strings"

	"valeshift/internal/wire"
	"valeshift/logic"
)

// pairs looks settings up by path and keeps the first that was needed and not there.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) fail(path, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s expected, got %q", path, want, p.values[path])
	}
}

// number reads a setting that a decision needs.
func (p *pairs) number(path string) float64 {
	v, err := strconv.ParseFloat(p.values[path], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		p.fail(path, "a number")
		return 0
	}
	return v
}

// optional reads a setting that the wire lets stay away.
func (p *pairs) optional(path string, otherwise float64) float64 {
	if _, ok := p.values[path]; !ok {
		return otherwise
	}
	return p.number(path)
}

func (p *pairs) count(path string) int {
	v := p.number(path)
	if v != math.Trunc(v) || v > 1e6 {
		p.fail(path, "a count")
		return 0
	}
	return int(v)
}

func (p *pairs) flag(path string) bool {
	switch p.values[path] {
	case "true":
		return true
	case "false":
	default:
		p.fail(path, "true or false")
	}
	return false
}

// word reads one of the words given, as its place among them.
func (p *pairs) word(path string, words ...string) int {
	for i, w := range words {
		if p.values[path] == w {
			return i
		}
	}
	p.fail(path, "one of "+strings.Join(words, ", "))
	return 0
}

// assemble hands each part of the module its own settings.
func assemble(seed uint64, text string) (*logic.Balancer, error) {
	p := &pairs{values: wire.Pairs(text)}
	chance := rand.New(rand.NewSource(int64(seed)))
	relays := max(1, p.count("replicas-of-me"))

	n := p.count("categories.count")
	var categories []logic.Category
	for i := 0; i < n && p.err == nil; i++ {
		at := fmt.Sprintf("categories.%d.", i)
		c := logic.Category{
			PromisedTime: p.number(at + "promised-time-ms"),
			Gain:         p.number(at + "gain"),
			Effect:       logic.Effect(p.word(at+"effect", "idempotent", "deduplicated", "at_most_once")),
		}
		if c.Effect == logic.Referenced {
			c.Scope = logic.Scope(p.word(at+"group", "all", "zone", "cell"))
			c.RepeatWindow = p.number(at + "repeat-window-ms")
		}
		categories = append(categories, c)
	}

	n = int(min(p.optional("parties.count", 0), 1e6))
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

	asked := p.word("discovery", "automatic", "subscribe") == 1
	askWithin := 0.0
	if asked {
		askWithin = p.number("contract.ask-within-ms")
	}
	var fields []string
	if p.word("stats.how", "none", "answers", "probe") > 0 {
		fields = strings.Split(p.values["stats.fields"], ",")
	}
	maxBack := 0.0
	if p.flag("limits.retry-after") {
		maxBack = p.number("limits.max-retry-after-ms")
	}
	warmup := logic.NewWarmup(p.number("contract.cold-from"), p.number("contract.cold-ms"),
		p.number("contract.tip-multiple"), p.number("contract.fall-ms"), relays)
	probing := logic.NewProbing(p.flag("limits.probes"), p.optional("fees.probe", 0), fields)
	effects := logic.NewEffects(categories, p.count("limits.most-setup-tries"), maxBack, relays)
	shares := logic.NewShares(categories, quotas, p.optional("beyond-share-gain", 1), relays)
	zone := p.count("zone")
	if p.err != nil {
		return nil, p.err
	}
	return logic.New(logic.NewRoster(asked, askWithin), logic.NewTurns(chance), warmup, probing, effects, shares,
		zone, p.optional("fees.cross-zone", 0), p.values["family-info.groups"] == "true",
		p.values["family-info.mode"] == "pass"), nil
}
