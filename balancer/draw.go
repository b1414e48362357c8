package balancer

import "math"

// exponentialDraw returns an exponentially distributed pseudo-random number that depends only on the hash and
// the backend's ID, so that all relays get the same. If each backend's draw is divided by its weight, the
// probability that a backend has the smallest result is in proportion to its weight. The bits are mixed as in
// SplitMix64.
func exponentialDraw(hash uint64, id uint32) float64 {
	x := hash ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}
