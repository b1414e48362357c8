package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestServesWithoutLoadReports guards against a relay that refuses every request: where backends report no load, or only
// with answers and in no field that is a share of a capacity, the unknown load passed for a full one.
func TestServesWithoutLoadReports(t *testing.T) {
	for _, c := range []struct {
		how, fields, probes string
	}{
		{"none", `"rps", "x0"`, "false"}, {"none", `"rps", "x0"`, "true"},
		{"answers", `"rps"`, "false"}, {"answers", `"odd"`, "false"},
		{"probe", `"odd"`, "true"},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			change := strings.NewReplacer(`"how": "answers"`, `"how": "`+c.how+`"`, `"rps", "x0"`, c.fields,
				`"probes": false`, `"probes": `+c.probes, `"seed"`, `"seed" `, `"replicas-of-me": 1,`, `"replicas-of-me": 2,`)
			s := newHarness(t, change.Replace, 0, "b1=active", "b2=active", "b3=active", "b4=active")
			perBackend := map[string]int{}
			for i := range 40 {
				now := 1000 + 100*float64(i)
				s.handle(now, fmt.Sprintf("open %d", i+1))
				effects := s.handle(now, fmt.Sprintf("came %d OPEN i%d %x c=feed,d=2000|", i+1, i, i+1))
				for _, effect := range strings.Split(effects, "; ") {
					words := strings.Fields(effect)
					if len(words) == 3 && words[0] == "dial" {
						perBackend[words[2]]++
						s.handle(now+1, "up "+words[1])
						s.handle(now+2, "came "+words[1]+" UP r|")
					}
				}
			}
			assert.Equal(t, 40, s.Established)
			assert.Len(t, perBackend, 4)
			for backend, sessions := range perBackend {
				assert.InDelta(t, 10, sessions, 2, backend)
			}
		})
	}
}
