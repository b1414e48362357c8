package protocol

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// ParseLoad reads the figure of a load notice.
func ParseLoad(text []byte) (load float64, ok bool) {
	load, err := strconv.ParseFloat(string(text), 64)
	return load, err == nil && load >= 0 && !math.IsInf(load, 0)
}

// ParseReport reads a load report's values in the order of the fields given, which are named as in the
// settings; one that is not there, or is no number, is NaN. It returns nil where no field is there.
func ParseReport(text []byte, fields []string) []float64 {
	var report []float64
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, figure, _ := bytes.Cut(pair, []byte("="))
		for i, field := range fields {
			if field != string(name) && field != settingsName(string(name)) {
				continue
			}
			value, err := strconv.ParseFloat(strings.TrimSpace(string(figure)), 64)
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

// settingsName is a reported value's name in the settings.
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
