package logic

import (
	"math/rand"
	"testing"
)

// fleet is a balancer with servers 1..n listed ready in zones 0, 1, 0, 1 ..., and loads as given.
type fleet struct {
	Effect  Effect
	Scope   Scope
	Window  float64
	Tries   int
	MaxBack float64
	Asked   bool
	Loads   []float64
	Cold    float64 // when the last server started, 0: long ago
	Crossed float64
	Grouped bool
	Relays  int
	Seed    int64
}

const start = 100000.0

func (f fleet) build(t *testing.T) *Balancer {
	t.Helper()
	chance := rand.New(rand.NewSource(f.Seed))
	relays := max(f.Relays, 1)
	categories := []Category{
		{PromisedTime: 300, RepeatWindow: f.Window, Gain: 1, Effect: f.Effect, Scope: f.Scope},
		{PromisedTime: 300, RepeatWindow: f.Window, Gain: 5, Effect: f.Effect, Scope: f.Scope},
	}
	b := New(NewRoster(f.Asked, 10000), NewTurns(chance), NewWarmup(0.2, 20000, 3, 2000, relays),
		NewProbing(true, 0.002, []string{"queue", "x0"}),
		NewEffects(categories, max(f.Tries, 3), f.MaxBack, relays),
		NewShares(categories, []float64{10, 990}, 0.2, relays), 0, f.Crossed, f.Grouped, false)
	b.ListBegan(true)
	for i := range f.Loads {
		cold := 0.0
		if i == len(f.Loads)-1 {
			cold = f.Cold
		}
		b.Listed(uint32(i+1), i%2, Ready, i%2, cold, 1)
	}
	b.ListEnded(start)
	for i, load := range f.Loads {
		b.Reported(start, uint32(i+1), []float64{0, load})
	}
	return b
}

// arrive is a new link that asks at the given time.
func arrive(now float64) *Link { return &Link{Limit: now + 2000} }
