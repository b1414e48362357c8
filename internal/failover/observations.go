package failover

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
)

// Observation is what one relay saw of one zone over the last second or so.
type Observation struct {
	Attempts           float64 // to set up a session, that ended
	FailedAttempts     float64 // of those: without an answer in time, refused or answered with an error
	HealthChecks       float64 // that ended
	FailedHealthChecks float64 // of those: without an answer
	Load               float64 // of the zone's backends together, as they report it; the unit is what one backend can bear
	Capacity           float64 // of the zone's backends that can serve, in the same unit
}

// Observations is what one relay reports of all zones.
type Observations struct {
	Relay  string
	Zone   string  // where the relay is
	Demand float64 // the work that comes to this relay, in the unit of load
	ByZone map[string]Observation
}

// maxFigure is above any figure that a relay can have counted within an observation.
const maxFigure = 1e9

// isPlausible reports whether all figures can be true. What a relay reports is not trusted.
func (o Observations) isPlausible() bool {
	for _, observation := range o.ByZone {
		if !observation.isPlausible() {
			return false
		}
	}
	return isPlausibleFigure(o.Demand)
}

func (o Observation) isPlausible() bool {
	for _, figure := range o.figures() {
		if !isPlausibleFigure(figure) {
			return false
		}
	}
	return o.FailedAttempts <= o.Attempts && o.FailedHealthChecks <= o.HealthChecks
}

// isPlausibleFigure is false for NaN too.
func isPlausibleFigure(figure float64) bool { return figure >= 0 && figure < maxFigure }

// figuresPerObservation counts the figures of an encoded observation.
const figuresPerObservation = 6

// figures returns all figures in the order in which they are encoded.
func (o Observation) figures() [figuresPerObservation]float64 {
	return [figuresPerObservation]float64{
		o.Attempts, o.FailedAttempts, o.HealthChecks, o.FailedHealthChecks, o.Load, o.Capacity,
	}
}

// Observations are sent in a binary form, as hundreds of relays report twice a second and reading JSON costs
// three times as much. The form is: a version, the relay's name, its zone, its demand, and then for each zone
// its name and figures. A text is one byte for its length and then its bytes; a figure is a little-endian
// float32.
const (
	observationsVersion = 1
	maxNameBytes        = 64
	figureBytes         = 4
)

// Encode returns the binary form. Longer names are cut; zones beyond the number that DecodeObservations
// accepts are left out.
func (o Observations) Encode() []byte {
	data := []byte{observationsVersion}
	data = appendName(data, o.Relay)
	data = appendName(data, o.Zone)
	data = appendFigure(data, o.Demand)
	zones := slices.Sorted(maps.Keys(o.ByZone))
	for _, zone := range zones[:min(len(zones), maxZones)] {
		data = appendName(data, zone)
		for _, figure := range o.ByZone[zone].figures() {
			data = appendFigure(data, figure)
		}
	}
	return data
}

func appendName(data []byte, name string) []byte {
	name = name[:min(len(name), maxNameBytes)]
	data = append(data, byte(len(name)))
	return append(data, name...)
}

func appendFigure(data []byte, figure float64) []byte {
	return binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(figure)))
}

var errMalformedObservations = errors.New("decode observations: malformed")

// DecodeObservations reads the binary form. It does not check the figures: Policy.AddObservations does.
func DecodeObservations(data []byte) (Observations, error) {
	if len(data) == 0 || data[0] != observationsVersion {
		return Observations{}, errMalformedObservations
	}
	d := observationsDecoder{rest: data[1:]}
	observations := Observations{
		Relay:  d.name(),
		Zone:   d.name(),
		Demand: d.figure(),
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

// observationsDecoder reads one value after the other. Once something is malformed it returns zero values.
type observationsDecoder struct {
	rest      []byte
	malformed bool
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

func (d *observationsDecoder) figure() float64 {
	if d.malformed || len(d.rest) < figureBytes {
		d.malformed = true
		return 0
	}
	figure := math.Float32frombits(binary.LittleEndian.Uint32(d.rest))
	d.rest = d.rest[figureBytes:]
	return float64(figure)
}

func (d *observationsDecoder) observation() Observation {
	return Observation{
		Attempts:           d.figure(),
		FailedAttempts:     d.figure(),
		HealthChecks:       d.figure(),
		FailedHealthChecks: d.figure(),
		Load:               d.figure(),
		Capacity:           d.figure(),
	}
}
