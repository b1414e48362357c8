package replication

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func (w *testFleet) allPages() (all []Page) {
	for _, n := range w.relays {
		for part := range Partitions {
			if p := n.Page(w.now, part); len(p.Records) > 0 || part == 0 {
				all = append(all, *p)
			}
		}
	}
	return all
}

// What relays show is held against each other: copies that are missing are counted, what can't be is named.
func TestVerify(t *testing.T) {
	pick := func(p []Page, holder int) (r *RecordSnapshot) {
		id := ""
		for i := range p {
			for k := range p[i].Records {
				if x := &p[i].Records[k]; x.Kind == "orders" && (id == "" || id == x.ID) &&
					p[i].Relay == x.Replicas[holder].Name {
					return x
				}
			}
		}
		return nil
	}
	without := func(p []Page, names ...string) (left []Page) {
		return slices.DeleteFunc(slices.Clone(p), func(x Page) bool { return slices.Contains(names, x.Relay) })
	}
	emptied := func(p []Page, names ...string) []Page {
		p = slices.Clone(p)
		for i := range p {
			if slices.Contains(names, p[i].Relay) {
				p[i].Records = nil
			}
		}
		return p
	}
	for name, c := range map[string]struct {
		change func(p []Page) []Page
		want   Report // of orders, of which there is one
		wrong  string
	}{
		"as it is": {func(p []Page) []Page { return p }, Report{Records: 1, FullyReplicated: 1}, ""},
		"one not asked": {func(p []Page) []Page { return without(p, pick(p, 0).Replicas[1].Name) },
			Report{Records: 1, Unknown: 1}, ""},
		"one has lost it": {func(p []Page) []Page { return emptied(p, pick(p, 0).Replicas[1].Name) },
			Report{Records: 1, UnderReplicated: 1}, ""},
		"two have lost it": {func(p []Page) []Page {
			h := pick(p, 0).Replicas
			return emptied(p, h[0].Name,
				h[2].Name)
		}, Report{Records: 1, BelowQuorum: 1}, ""},
		"a former one lies on at some": {func(p []Page) []Page {
			was := *pick(p, 0)
			was.ID, was.Version, was.Body = "0000000000000001", 0, []byte("former")
			for i := range p {
				if p[i].Relay == was.Replicas[0].Name {
					p[i].Records = append(p[i].Records, was)
					break
				}
			}
			return p
		}, Report{Records: 1, FullyReplicated: 1}, ""},
		"it is two": {func(p []Page) []Page { pick(p, 1).Body = []byte("other"); return p },
			Report{Records: 1, FullyReplicated: 1}, "is two"},
		"another version": {func(p []Page) []Page { pick(p, 2).Version = 9; return p }, Report{Records: 1,
			FullyReplicated: 1}, "another record"},
		"no end": {func(p []Page) []Page { pick(p, 2).ExpiresAt = 1e300; return p }, Report{Records: 1,
			FullyReplicated: 1}, "beyond all bounds"},
		"at a stranger": {func(p []Page) []Page {
			p[0].Records = append(p[0].Records, *pick(p, 0))
			p[0].Relay = "stranger"
			return p
		}, Report{Records: 1, FullyReplicated: 1}, "none of its holders"},
	} {
		w := newTestFleet(t, 9, 3, 3, 4, injectedFaults{})
		_, acts := w.relays[2].Replicate(w.now, Record{Kind: OperatorOrder, Key: "n2", Version: 1, ExpiresAt: w.now + 1e6,
			Body: []byte("x")}, 50)
		w.perform(2, acts)
		w.reserve(1, "k", w.now+5000)
		w.runUntil(w.now + 60)
		w.acquire(3, "k")
		w.runUntil(w.now + 60)
		text, err := json.Marshal(w.allPages())
		require.NoError(t, err)
		var pages []Page
		require.NoError(t, json.Unmarshal(text, &pages))
		found := Verify(c.change(pages))
		got := *found["orders"]
		wrong := got.Inconsistencies
		if got.Inconsistencies = nil; name != "at a stranger" {
			assert.Equal(t, c.want, got, name)
		}
		assert.Zero(t, found["places"].Records, "%s: it is used", name)
		if c.wrong == "" {
			assert.Empty(t, wrong, name)
		} else if assert.NotEmpty(t, wrong, name) {
			assert.Contains(t, wrong[0], c.wrong, name)
		}
	}
}
