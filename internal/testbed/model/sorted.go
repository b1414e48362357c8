package model

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in ascending order. Iterating over them makes each run do the same in the
// same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
