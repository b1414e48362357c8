package replication

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// decodedPages returns the pages of all relays after a round trip through JSON, as a client receives them.
func (f *testFleet) decodedPages() []Page {
	f.t.Helper()
	var pages []Page
	for _, r := range f.relays {
		for partition := range Partitions {
			page := r.Page(f.now, partition)
			if len(page.Records) > 0 || partition == 0 {
				pages = append(pages, *page)
			}
		}
	}
	text, err := json.Marshal(pages)
	require.NoError(f.t, err)
	var decoded []Page
	require.NoError(f.t, json.Unmarshal(text, &decoded))
	return decoded
}

// orderAt returns the snapshot of the fleet's only order on the page of its replica with that index.
func orderAt(pages []Page, replica int) *RecordSnapshot {
	for i := range pages {
		for k := range pages[i].Records {
			record := &pages[i].Records[k]
			if record.Kind == "orders" && pages[i].Relay == record.Replicas[replica].Name {
				return record
			}
		}
	}
	return nil
}

func withoutRelay(pages []Page, name string) []Page {
	return slices.DeleteFunc(slices.Clone(pages), func(p Page) bool { return p.Relay == name })
}

func withRecordsLost(pages []Page, names ...string) []Page {
	pages = slices.Clone(pages)
	for i := range pages {
		if slices.Contains(names, pages[i].Relay) {
			pages[i].Records = nil
		}
	}
	return pages
}

// Verify counts missing replicas and lists contradictions between relays.
func TestVerify(t *testing.T) {
	fullyReplicated := &Report{Records: 1, FullyReplicated: 1}
	for _, c := range []struct {
		name          string
		change        func(pages []Page) []Page
		want          *Report // expected report for orders, without inconsistencies; nil if it isn't checked
		inconsistency string  // text that the first inconsistency must contain; empty if there must be none
	}{
		{"unchanged", func(pages []Page) []Page { return pages }, fullyReplicated, ""},
		{"a replica was not asked", func(pages []Page) []Page {
			return withoutRelay(pages, orderAt(pages, 0).Replicas[1].Name)
		}, &Report{Records: 1, Unknown: 1}, ""},
		{"a replica has lost it", func(pages []Page) []Page {
			return withRecordsLost(pages, orderAt(pages, 0).Replicas[1].Name)
		}, &Report{Records: 1, UnderReplicated: 1}, ""},
		{"two replicas have lost it", func(pages []Page) []Page {
			replicas := orderAt(pages, 0).Replicas
			return withRecordsLost(pages, replicas[0].Name, replicas[2].Name)
		}, &Report{Records: 1, BelowQuorum: 1}, ""},
		{"an earlier version is left at a replica", func(pages []Page) []Page {
			earlier := *orderAt(pages, 0)
			earlier.ID = "0000000000000001"
			earlier.Version = 0
			earlier.Body = []byte("earlier")
			i := slices.IndexFunc(pages, func(p Page) bool { return p.Relay == earlier.Replicas[0].Name })
			pages[i].Records = append(pages[i].Records, earlier)
			return pages
		}, fullyReplicated, ""},
		{"two orders of one version", func(pages []Page) []Page {
			orderAt(pages, 1).Body = []byte("other")
			return pages
		}, fullyReplicated, "share version"},
		{"another version of one ID", func(pages []Page) []Page {
			orderAt(pages, 2).Version = 9
			return pages
		}, fullyReplicated, "another record"},
		{"expires too late", func(pages []Page) []Page {
			orderAt(pages, 2).ExpiresAt = 1e300
			return pages
		}, fullyReplicated, "expires later than allowed"},
		{"stored by a relay that is no replica", func(pages []Page) []Page {
			pages[0].Records = append(pages[0].Records, *orderAt(pages, 0))
			pages[0].Relay = "stranger" // the replaced page may have been that of a replica, so want is nil
			return pages
		}, nil, "not one of its replicas"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 9, 3, 3, 4, injectedFaults{})
			_, actions := f.relays[2].Replicate(f.now, Record{Kind: OperatorOrder, Key: "n2", Version: 1,
				ExpiresAt: f.now + 1e6, Body: []byte("x")}, operationTimeout)
			f.perform(2, actions)
			f.reserve(1, "k", f.now+5000)
			f.runUntil(f.now + 60)
			f.acquire(3, "k")
			f.runUntil(f.now + 60)

			reports := Verify(c.change(f.decodedPages()))
			orders := *reports["orders"]
			inconsistencies := orders.Inconsistencies
			orders.Inconsistencies = nil
			if c.want != nil {
				assert.Equal(t, *c.want, orders)
			}
			assert.Zero(t, reports["places"].Records, "a used reservation must not be counted")
			if c.inconsistency == "" {
				assert.Empty(t, inconsistencies)
			} else if assert.NotEmpty(t, inconsistencies) {
				assert.Contains(t, inconsistencies[0], c.inconsistency)
			}
		})
	}
}
