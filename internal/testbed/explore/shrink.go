package explore

import (
	"math"
	"slices"

	"valeshift/internal/testbed/experiment"
)

const (
	minShrunkLength = 2500.0 // milliseconds that a shortened run lasts at least
	minTimeLeft     = 500.0  // milliseconds: least time after the last fault's begin, and least cut of a run's length
	minDuration     = 200.0  // milliseconds; a fault's duration is halved only if it is longer
	minShare        = 0.1    // a fault's share is halved only if it is greater
)

// Shrink makes the experiment of a finding smaller, step by step. Each step must still break a rule that the experiment
// before it broke. Shrink runs at most budget experiments.
func Shrink(f *Finding, budget int, play Player) *Finding {
	for budget > 0 {
		smaller := shrinkOnce(f, &budget, play)
		if smaller == nil {
			break
		}
		smaller.Seed = f.Seed
		f = smaller
	}
	return f
}

// shrinkOnce returns the finding of the first smaller experiment that breaks a rule in common, or nil.
func shrinkOnce(f *Finding, budget *int, play Player) *Finding {
	for _, x := range smallerExperiments(f.Experiment) {
		if *budget == 0 {
			return nil
		}
		*budget--
		if x.Complete() != nil {
			continue
		}
		if smaller := play(x); f.hasSameFailure(smaller) {
			return smaller
		}
	}
	return nil
}

// change is a step that makes an experiment smaller.
type change func(*experiment.Experiment)

// smallerExperiments returns experiments with one step each taken, those with the largest effect first.
func smallerExperiments(x *experiment.Experiment) (all []*experiment.Experiment) {
	changes := slices.Concat(
		dropFaultsAndTraffic(x),
		shorten(x),
		reduceFleet(x),
		reduceTraffic(x),
		reduceFaults(x),
		simplify(x),
	)
	for _, apply := range changes {
		y := *x
		y.Faults = slices.Clone(x.Faults)
		y.Traffic = slices.Clone(x.Traffic)
		apply(&y)
		all = append(all, &y)
	}
	return all
}

func dropFaultsAndTraffic(x *experiment.Experiment) (changes []change) {
	for i := range x.Faults {
		changes = append(changes, func(y *experiment.Experiment) { y.Faults = slices.Delete(y.Faults, i, i+1) })
	}
	if len(x.Traffic) == 1 {
		return changes
	}
	for i := range x.Traffic {
		changes = append(changes, func(y *experiment.Experiment) { y.Traffic = slices.Delete(y.Traffic, i, i+1) })
	}
	return changes
}

// shorten cuts half of the run after the last fault's begin.
func shorten(x *experiment.Experiment) []change {
	lastFault := 0.0
	for _, f := range x.Faults {
		lastFault = max(lastFault, float64(f.At))
	}
	half := (lastFault + float64(x.Length)) / 2
	length := experiment.Millis(max(half, lastFault+minTimeLeft, minShrunkLength))
	if length >= x.Length-minTimeLeft {
		return nil
	}
	return []change{func(y *experiment.Experiment) {
		y.Length = length
		for i := range y.Faults {
			y.Faults[i].Duration = min(y.Faults[i].Duration, y.Length)
		}
	}}
}

func reduceFleet(x *experiment.Experiment) (changes []change) {
	if x.Relays.Count > 1 {
		changes = append(changes, func(y *experiment.Experiment) { y.Relays.Count /= 2 })
	}
	if x.Fleet.Backends > max(2, x.Fleet.Zones) {
		changes = append(changes, func(y *experiment.Experiment) {
			y.Fleet.Backends = max(y.Fleet.Backends*2/3, 2, y.Fleet.Zones)
		})
	}
	if x.Fleet.Zones > 1 {
		changes = append(changes, func(y *experiment.Experiment) { y.Fleet.Zones = 1 })
	}
	return changes
}

func reduceTraffic(x *experiment.Experiment) (changes []change) {
	for i, t := range x.Traffic {
		if t.Rate > 1 {
			changes = append(changes, func(y *experiment.Experiment) { y.Traffic[i].Rate = math.Floor(t.Rate / 2) })
		}
		if t.InitialClients > 1 {
			changes = append(changes, func(y *experiment.Experiment) { y.Traffic[i].InitialClients /= 2 })
		}
		if t.LoadSpread > 0 {
			changes = append(changes, func(y *experiment.Experiment) { y.Traffic[i].LoadSpread = 0 })
		}
		if t.Groups > 0 {
			changes = append(changes, func(y *experiment.Experiment) { y.Traffic[i].Groups = 0 })
		}
	}
	return changes
}

func reduceFaults(x *experiment.Experiment) (changes []change) {
	for i, f := range x.Faults {
		if f.Duration > minDuration {
			half := experiment.Millis(math.Round(float64(f.Duration) / 2))
			changes = append(changes, func(y *experiment.Experiment) { y.Faults[i].Duration = half })
		}
		if f.Share > minShare {
			changes = append(changes, func(y *experiment.Experiment) { y.Faults[i].Share = f.Share / 2 })
		}
	}
	return changes
}

// simplify sets optional features of the network, the backends and the relays to none.
func simplify(x *experiment.Experiment) (changes []change) {
	if x.Network.SplitProbability != 0 {
		changes = append(changes, func(y *experiment.Experiment) { y.Network.SplitProbability = 0 })
	}
	if x.Network.Jitter != 0 {
		changes = append(changes, func(y *experiment.Experiment) { y.Network.Jitter = 0 })
	}
	if x.Fleet.StoreRate != 0 {
		changes = append(changes, func(y *experiment.Experiment) { y.Fleet.StoreRate = 0 })
	}
	if x.Relays.MaxDescriptors != 0 {
		changes = append(changes, func(y *experiment.Experiment) { y.Relays.MaxDescriptors = 0 })
	}
	return changes
}
