package replication

import (
	"fmt"
	"math"
	"slices"
)

// This file is what operators are shown of what is held, and how what several relays show is held against
// each other. Nothing of it changes anything.

// Parts is how many parts a relay shows its records in, so that each takes it little time.
const Parts = 64

// Shown is a record as one of its holders has it.
type Shown struct {
	Kind    string   `json:"Kind"`
	Key     string   `json:"Key"`
	ID      string   `json:"ID"`
	Owner   string   `json:"Owner"`
	Version uint64   `json:"Version"`
	At      float64  `json:"At"` // of the fleet's clock
	End     float64  `json:"End"`
	Holders []Holder `json:"Holders"`
	State   string   `json:"State"` // open, used, over
	Body    []byte   `json:"Body,omitempty"`
}

// Page is a part of what one relay holds.
type Page struct {
	Name    string  `json:"Name"`
	Now     float64 `json:"Now"`
	Records []Shown `json:"Records"`
}

// Page shows one part of what is held.
func (c *Core) Page(now float64, part int) *Page {
	p := &Page{Name: c.name, Now: now, Records: []Shown{}}
	if part >= Parts {
		return p
	}
	for _, h := range c.parts[part] {
		s := Shown{Kind: h.Kind.String(), Key: h.Key, ID: nameOf(h.ID), Owner: h.Owner, Version: h.Version,
			At:  h.At,
			End: h.End, Holders: h.Holders, State: "open", Body: h.Body}
		switch {
		case h.Taken != (ballot{}):
			s.State = "used"
		case h.Bound.Round == math.MaxUint64 || h.End <= now:
			s.State = "over"
		}
		p.Records = append(p.Records, s)
	}
	slices.SortFunc(p.Records, func(a, b Shown) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return p
}

// Finding is what several relays' records of one kind come to.
type Finding struct {
	Records int      `json:"Records"` // that are open and last for a while yet; of what holds by its version, the latest
	Whole   int      `json:"Whole"`   // held by all of their holders
	Under   int      `json:"Under"`   // by some fewer, as far as all were asked
	Short   int      `json:"Short"`   // by no more than half: not to be used, or read, for certain
	Unknown int      `json:"Unknown"` // some of their holders were not asked
	Wrong   []string `json:"Wrong"`
}

const (
	lasting  = 1000.0 // ms, that a record is to last yet: against its end coming between two relays' answers
	mostSaid = 20
)

// Verify holds what relays show against each other: for each kind, how far copies are whole, and what
// contradicts itself.
func Verify(pages []Page) map[string]*Finding {
	type seen struct {
		Shown
		by   []string
		over bool
		late bool
	}
	asked, all, found := map[string]bool{}, map[string]*seen{}, map[string]*Finding{}
	for k := Place; k < lastKind; k++ {
		found[k.String()] = &Finding{}
	}
	wrong := func(kind, format string, args ...any) {
		if f := found[kind]; f == nil {
			found[kind] = &Finding{Wrong: []string{"a kind that this build does not know"}}
		} else if len(f.Wrong) < mostSaid {
			f.Wrong = append(f.Wrong, fmt.Sprintf(format, args...))
		}
	}
	versions := map[string]Shown{}
	for _, p := range pages {
		asked[p.Name] = true
		for _, r := range p.Records {
			x := all[r.ID]
			if x == nil {
				x = &seen{Shown: r}
				all[r.ID] = x
			}
			x.by = append(x.by, p.Name)
			x.over = x.over || r.State != "open"
			x.late = x.late || r.End < p.Now+lasting
			switch {
			case r.Kind != x.Kind || r.Key != x.Key || r.Owner != x.Owner || r.Version != x.Version ||
				!slices.Equal(r.Holders, x.Holders):
				wrong(r.Kind, "%s of %s is another record at %s than at %s", r.ID, r.Owner, p.Name, x.by[0])
			case !slices.ContainsFunc(r.Holders, func(h Holder) bool { return h.Name == p.Name }):
				wrong(r.Kind, "%s of %s lies at %s, which is none of its holders", r.ID, r.Owner, p.Name)
			case r.End > p.Now+mostEnd:
				wrong(r.Kind, "%s of %s at %s ends beyond all bounds", r.ID, r.Owner, p.Name)
			}
			if r.Kind == Order.String() {
				key := fmt.Sprint(r.Key, " ", r.Version)
				if was, there := versions[key]; there && string(was.Body) != string(r.Body) {
					wrong(r.Kind, "order %d of %s is two: %s and %s", r.Version, r.Key, was.Body, r.Body)
				}
				versions[key] = r
			}
		}
	}
	// Of what holds by its version, the latest of a key counts, and of copies that are alike the best: a former
	// one may lie on for a while at some.
	latest := map[string]*seen{}
	for id, x := range all {
		if x.Kind != Order.String() && x.Kind != Affinity.String() {
			continue
		}
		key := x.Kind + " " + x.Key
		was := latest[key]
		if was == nil || x.Version > was.Version || (x.Version == was.Version && len(x.by) > len(was.by)) {
			if latest[key] = x; was != nil {
				delete(all, was.ID)
			}
		} else {
			delete(all, id)
		}
	}
	for _, x := range all {
		f := found[x.Kind]
		if f == nil || x.over || x.late {
			continue
		}
		f.Records++
		unknown := slices.ContainsFunc(x.Holders, func(h Holder) bool { return !asked[h.Name] })
		switch n := len(x.by); {
		case n >= len(x.Holders):
			f.Whole++
		case unknown:
			f.Unknown++
		case 2*n <= len(x.Holders):
			f.Short++
		default:
			f.Under++
		}
	}
	return found
}
