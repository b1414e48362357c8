package balancer

import "math"

// exponentialDraw is an exponentially distributed draw that depends on nothing but the hash and the backend's
// ID, so that all relays draw alike. The least of several draws, each divided by its weight, picks by weight.
func exponentialDraw(hash uint64, id uint32) float64 {
	x := hash ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}
