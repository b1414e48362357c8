package sim

import (
	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/relay"
	"valeshift/internal/settings"
	"valeshift/internal/testbed/baseline"
	"valeshift/internal/testbed/experiment"
)

const loadOfUnreachable = 1e6 // utilization reported for a dead backend, above that of any live one

// Policy creates the balancer of one relay for a variant: the relay's own, or a baseline. A baseline may look up a
// backend's true load and whether it has capacity for one more session, by the backend's ID.
func Policy(x *experiment.Experiment, variant string, zone int, config *relay.Config,
	loadOf func(uint32) float64, hasCapacity func(uint32) bool) (dispatch.Balancer, error) {
	if variant == experiment.Policies[0] {
		return settings.NewReader(config.Settings).BuildBalancer(config.Seed)
	}
	return baseline.New(baseline.Config{
		Kind:        baseline.Kind(variant),
		Zone:        zone,
		Seed:        config.Seed,
		Classes:     classes(x),
		MaxAttempts: x.Relays.MaxAttempts,
		RetryAfter:  float64(x.Relays.MaxRetryAfter),
		LoadOf:      loadOf,
		HasCapacity: hasCapacity,
	})
}

func classes(x *experiment.Experiment) []balancer.Class {
	idempotency := map[experiment.Effect]balancer.Idempotency{
		experiment.EffectReplayable: balancer.Idempotent,
		experiment.EffectReferenced: balancer.IdempotentByKey,
		experiment.EffectSingleUse:  balancer.NonIdempotent,
	}
	var classes []balancer.Class
	for _, t := range x.Classes() {
		classes = append(classes, balancer.Class{
			LatencyObjective: float64(t.LatencyObjective),
			PriorityWeight:   t.PriorityWeight,
			Idempotency:      idempotency[t.Effect],
		})
	}
	return classes
}

// loadOf returns a backend's true utilization, or loadOfUnreachable for one that is dead or unknown.
func (s *Sim) loadOf(id uint32) float64 {
	for _, b := range s.environment.Backends {
		if relay.BackendID(b.Name) == id && !b.Dead {
			return b.Demand / max(b.Capacity(s.network.now), 1e-6)
		}
	}
	return loadOfUnreachable
}

// hasCapacity reports whether a backend has capacity for one more session.
func (s *Sim) hasCapacity(id uint32) bool {
	for _, b := range s.environment.Backends {
		if relay.BackendID(b.Name) == id {
			return s.environment.HasCapacity(b)
		}
	}
	return false
}
