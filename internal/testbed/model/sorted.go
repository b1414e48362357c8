package model

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns a map's keys in order, so that what is done for each comes in the same order in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
