package failover

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
)

// Observation is what one relay saw of one zone within about one second.
type Observation struct {
	Attempts           float64 // completed attempts to set up a session
	FailedAttempts     float64 // attempts that got no answer in time, were refused, or were answered with an error
	HealthChecks       float64 // completed health checks
	FailedHealthChecks float64 // health checks that got no answer
	Load               float64 // total load that the zone's backends report, in capacities of one backend
	Capacity           float64 // total capacity of the zone's backends that can serve, in capacities of one backend
}

// Observations is one relay's report on all zones.
type Observations struct {
	Relay  string                 // name of the relay
	Zone   string                 // zone in which the relay runs
	Demand float64                // load of the relay's own sessions, in capacities of one backend
	ByZone map[string]Observation // observations of each zone, by zone name
}

// maxPlausibleValue is greater than any count or load that one relay can observe.
const maxPlausibleValue = 1e9

// isPlausible reports whether all values are within their possible range, as reports of relays are not trusted.
func (o Observations) isPlausible() bool {
	for _, observation := range o.ByZone {
		if !observation.isPlausible() {
			return false
		}
	}
	return isPlausibleValue(o.Demand)
}

func (o Observation) isPlausible() bool {
	for _, value := range o.values() {
		if !isPlausibleValue(value) {
			return false
		}
	}
	return o.FailedAttempts <= o.Attempts && o.FailedHealthChecks <= o.HealthChecks
}

// isPlausibleValue reports whether a value is within its possible range, which NaN is not.
func isPlausibleValue(value float64) bool { return value >= 0 && value < maxPlausibleValue }

// valuesPerObservation is the number of values in an encoded observation.
const valuesPerObservation = 6

// values returns all values in the order in which they are encoded.
func (o Observation) values() [valuesPerObservation]float64 {
	return [valuesPerObservation]float64{
		o.Attempts, o.FailedAttempts, o.HealthChecks, o.FailedHealthChecks, o.Load, o.Capacity,
	}
}

// Observations are sent in a binary encoding, as hundreds of relays report twice a second and decoding JSON
// costs three times as much. The encoding consists of a version byte, the relay's name, its zone, its demand,
// and then each zone's name and values. A name is encoded as one byte for its length, followed by its bytes; a
// value is encoded as a little-endian float32.
const (
	observationsVersion = 1  // version of the encoding, its first byte
	maxNameBytes        = 64 // longest name of a relay or zone, in bytes
	valueBytes          = 4  // size of one encoded value, in bytes
)

// Encode returns the binary encoding. Names longer than maxNameBytes are truncated, and zones beyond the first
// maxZones by name are left out, as DecodeObservations accepts no more.
func (o Observations) Encode() []byte {
	data := []byte{observationsVersion}
	data = appendName(data, o.Relay)
	data = appendName(data, o.Zone)
	data = appendValue(data, o.Demand)
	zones := slices.Sorted(maps.Keys(o.ByZone))
	for _, zone := range zones[:min(len(zones), maxZones)] {
		data = appendName(data, zone)
		for _, value := range o.ByZone[zone].values() {
			data = appendValue(data, value)
		}
	}
	return data
}

func appendName(data []byte, name string) []byte {
	name = name[:min(len(name), maxNameBytes)]
	data = append(data, byte(len(name)))
	return append(data, name...)
}

func appendValue(data []byte, value float64) []byte {
	return binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(value)))
}

var errMalformedObservations = errors.New("decode observations: malformed")

// DecodeObservations decodes the binary encoding. It doesn't check whether the values are plausible, which
// Policy.AddObservations does.
func DecodeObservations(data []byte) (Observations, error) {
	if len(data) == 0 || data[0] != observationsVersion {
		return Observations{}, errMalformedObservations
	}
	d := observationsDecoder{rest: data[1:]}
	observations := Observations{
		Relay:  d.name(),
		Zone:   d.name(),
		Demand: d.value(),
		ByZone: map[string]Observation{},
	}
	for !d.malformed && len(d.rest) > 0 {
		name := d.name()
		observation := d.observation()
		if len(observations.ByZone) == maxZones {
			d.malformed = true
		}
		if !d.malformed {
			observations.ByZone[name] = observation
		}
	}
	if d.malformed {
		return Observations{}, errMalformedObservations
	}
	return observations, nil
}

// observationsDecoder reads names and values in sequence. After the first malformed one it returns only empty
// names and zeros.
type observationsDecoder struct {
	rest      []byte // bytes that are not read yet
	malformed bool   // true once the data has turned out to be malformed
}

func (d *observationsDecoder) name() string {
	if d.malformed || len(d.rest) == 0 {
		d.malformed = true
		return ""
	}
	length := int(d.rest[0])
	if length > maxNameBytes || len(d.rest) < 1+length {
		d.malformed = true
		return ""
	}
	name := string(d.rest[1 : 1+length])
	d.rest = d.rest[1+length:]
	return name
}

func (d *observationsDecoder) value() float64 {
	if d.malformed || len(d.rest) < valueBytes {
		d.malformed = true
		return 0
	}
	value := math.Float32frombits(binary.LittleEndian.Uint32(d.rest))
	d.rest = d.rest[valueBytes:]
	return float64(value)
}

func (d *observationsDecoder) observation() Observation {
	return Observation{
		Attempts:           d.value(),
		FailedAttempts:     d.value(),
		HealthChecks:       d.value(),
		FailedHealthChecks: d.value(),
		Load:               d.value(),
		Capacity:           d.value(),
	}
}
