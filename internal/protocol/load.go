package protocol

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// ParseLoad parses the load that a backend sends for a session: a finite number, 0 or more.
func ParseLoad(text []byte) (load float64, ok bool) {
	load, err := strconv.ParseFloat(string(text), 64)
	return load, err == nil && load >= 0 && !math.IsInf(load, 0)
}

// ParseReport parses a load report, a list of name=value. It returns the values of the given fields, which have
// their names in the settings, in that order. A value that is missing or not a number is NaN. If the report has
// no value for any of the fields, it returns nil.
func ParseReport(text []byte, fields []string) []float64 {
	var report []float64
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, number, _ := bytes.Cut(pair, []byte("="))
		for i, field := range fields {
			if field != string(name) && field != settingsName(string(name)) {
				continue
			}
			value, err := strconv.ParseFloat(strings.TrimSpace(string(number)), 64)
			if err != nil {
				continue
			}
			for len(report) < len(fields) {
				report = append(report, math.NaN())
			}
			report[i] = value
		}
	}
	return report
}

// settingsName returns the name that the settings use for a name in a load report.
func settingsName(name string) string {
	switch name {
	case "inflight":
		return "active"
	case "queue":
		return "waiting"
	case "util":
		return "cpu"
	case "latency_ms":
		return "avg_ms"
	case "qps":
		return "rps"
	case "eps":
		return "err_rps"
	default:
		return name
	}
}
