package model

import (
	"cmp"
	"maps"
	"slices"
)

// sorted are a map's keys in order, so that what is done for each comes in the same order every time.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
