package failover

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
)

// Evidence goes to voters in a form of its own, as hundreds of relays tell theirs twice a second: a version,
// the relay's name and zone, its demand, and each look as a name and six figures. Texts have a length of one
// byte, figures are float32, all little-endian. Read as JSON they cost three times as much.

const (
	observationsVersion = 1
	maxNameBytes     = 64
	figuresPerObservation  = 6
)

// Encode writes it. Names that are too long, and looks beyond what is read, are left out.
func (e *Observations) Encode() []byte {
	to := []byte{observationsVersion}
	text := func(s string) {
		s = s[:min(len(s), maxNameBytes)]
		to = append(append(to, byte(len(s))), s...)
	}
	figure := func(x float64) { to = binary.LittleEndian.AppendUint32(to, math.Float32bits(float32(x))) }
	text(e.Relay)
	text(e.Zone)
	figure(e.Demand)
	for i, name := range slices.Sorted(maps.Keys(e.ByZone)) {
		if i == maxZones {
			break
		}
		l := e.ByZone[name]
		text(name)
		for _, x := range [figuresPerObservation]float64{l.Attempts, l.FailedAttempts, l.HealthChecks, l.FailedHealthChecks, l.Load, l.Capacity} {
			figure(x)
		}
	}
	return to
}

var errMalformedObservations = errors.New("failover: evidence that can't be read")

// DecodeObservations reads it; figures that can't be are refused by whoever hears it.
func DecodeObservations(data []byte) (e Observations, err error) {
	bad := len(data) == 0 || data[0] != observationsVersion
	text := func() string {
		if bad = bad || len(data) == 0 || int(data[0]) > maxNameBytes || len(data) < 1+int(data[0]); bad {
			return ""
		}
		s := string(data[1 : 1+data[0]])
		data = data[1+data[0]:]
		return s
	}
	figure := func() float64 {
		if bad = bad || len(data) < 4; bad {
			return 0
		}
		x := math.Float32frombits(binary.LittleEndian.Uint32(data))
		data = data[4:]
		return float64(x)
	}
	if !bad {
		data = data[1:]
	}
	e.Relay, e.Zone, e.Demand = text(), text(), figure()
	e.ByZone = map[string]Observation{}
	for !bad && len(data) > 0 {
		name := text()
		l := Observation{figure(), figure(), figure(), figure(), figure(), figure()}
		if bad = bad || len(e.ByZone) == maxZones; !bad {
			e.ByZone[name] = l
		}
	}
	if bad {
		return Observations{}, errMalformedObservations
	}
	return e, nil
}
