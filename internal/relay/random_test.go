package relay

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// fixedTimers is how many timers may be armed without a connection: of the list, the start, the door and the stop.
const fixedTimers = 6

// Whatever comes in whatever order, a client gets one final answer in time, has one attempt out at a time, is told
// nothing more once its connection is over, and nothing is left behind. No attempt is begun for a client that has
// left, nor sent to a backend that was told to drain; after the exit is decided, none is begun at all.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range int64(300) {
		chance := rand.New(rand.NewSource(seed))
		s := newHarness(t, func(text string) string {
			text = strings.Replace(text, `"probes": false`, fmt.Sprintf(`"probes": %t`, seed%2 == 0), 1)
			return strings.Replace(text, `"may-cancel": true`, fmt.Sprintf(`"may-cancel": %t`, seed%3 > 0), 1) + " "
		}, 70, "b1=active", "b2=active", "b3=leaving")
		open, up := map[string]bool{}, map[string]bool{} // connections, by their words
		due, answered := map[string]float64{}, map[string]bool{}
		now, next, watch, index := 0.0, 0, 1, 1
		pick := func(of map[string]bool, ours bool) string {
			var all []string
			for c := range of {
				if (c[0] == 's') == ours {
					all = append(all, c)
				}
			}
			if len(all) == 0 {
				return ""
			}
			slices.Sort(all)
			return all[chance.Intn(len(all))]
		}
		tell := func(event string) {
			for _, said := range strings.Split(s.handle(now, event), "; ") {
				f := strings.Fields(said)
				if len(f) == 0 {
					continue
				}
				switch f[0] {
				case "dial":
					open[f[1]] = true
					c := s.conns.byID[s.conn(f[1])]
					require.False(t, c.session != nil && c.session.clientConn == nil, "seed %d: %s for a client that left", seed, said)
					require.False(t, c.session != nil && s.drain.exiting, "seed %d: %s after the exit was decided", seed, said)
				case "watch":
					fmt.Sscan(f[1], &watch)
				case "end", "reset":
					delete(open, f[1])
					delete(up, f[1])
				case "write":
					require.True(t, open[f[1]], "seed %d: %s to one that is over", seed, said)
					first := strings.SplitN(said, " ", 3)[2]
					if c := s.conns.byID[s.conn(f[1])]; strings.HasPrefix(first, "OPEN") && c != nil {
						require.NotNil(t, c.session.clientConn, "seed %d: %s for a client that left", seed, said)
						require.Equal(t, balancer.Ready, c.backend.condition, "seed %d: %s to one that drains", seed, said)
					}
					if limit, link := due[f[1]]; link && !answered[f[1]] {
						require.Regexp(t, `^(UP|BUSY|ERR)`, first, "seed %d", seed)
						require.LessOrEqual(t, now, limit, "seed %d: late", seed)
						answered[f[1]] = true
					} else if link {
						// The relay's own are told from a backend's lines by their form.
						require.NotRegexp(t, `^(BUSY 900|ERR\|)`, first, "seed %d: a second answer", seed)
					}
				}
			}
			for _, b := range s.BackendStatuses(now) {
				require.Equal(t, b.Established+b.Attempts, b.Reserved, "seed %d: links on %s", seed, b.Name)
			}
			tries := map[*session]int{}
			for _, c := range s.conns.byID {
				if c.backend != nil && c.session != nil {
					tries[c.session]++
					require.Equal(t, 1, tries[c.session], "seed %d: two out at once", seed)
				}
			}
		}
		for range 400 {
			// Timers are met one by one, as the clock would.
			until := now + chance.ExpFloat64()*30
			for s.timers.setFor < until {
				now = max(now, s.timers.setFor)
				tell("tick")
			}
			now = until
			client, server := pick(open, false), pick(open, true)
			switch k := chance.Intn(20); {
			case k < 4:
				next++
				c := fmt.Sprint(next)
				open[c] = true
				tell("open " + c)
				if !open[c] {
					break
				}
				switch chance.Intn(8) {
				case 0:
					tell("came " + c + " PING|")
				case 1:
					tell("came " + c + " OPEN a")
				case 2:
					tell("came " + c + " nonsense|")
				default:
					category := []string{"feed", "order"}[chance.Intn(2)]
					wait := 1 + chance.Intn(2000)
					due[c] = now + float64(wait)
					tell(fmt.Sprintf("came %s OPEN i%s %x c=%s,t=one,d=%d|", c, c, chance.Intn(9), category, wait))
				}
			case k < 9 && server != "" && !up[server]:
				if up[server] = chance.Intn(6) > 0; up[server] {
					tell("up " + server)
				} else {
					delete(open, server)
					tell("reset " + server)
				}
			case k < 14 && server != "":
				answers := []string{"UP r|", "UP r|LOAD 5|", "BUSY|UP x|", "ERR x0=1|", "BYE|", "MOVE|", "x",
					"PONG x0=0.5|",
					"line|", "UP r|", "UP r|"}
				tell("came " + server + " " + answers[chance.Intn(len(answers))])
			case k < 16 && client != "":
				tell("came " + client + " line|")
			case k == 16 && server != "":
				delete(open, server)
				tell([]string{"end ", "reset ", "cut "}[chance.Intn(3)] + server)
			case k == 17 && client != "":
				delete(open, client)
				answered[client] = true
				tell([]string{"end ", "reset "}[chance.Intn(2)] + client)
			case k == 18:
				index++
				status := []string{"active", "active", "leaving", "left"}
				tell(fmt.Sprintf("news %d %d %s b1=%s b2=%s@%d b%d=active", watch, index,
					[]string{"whole", "delta"}[chance.Intn(2)], status[chance.Intn(4)], status[chance.Intn(4)],
					chance.Intn(2)*int(now), 1+chance.Intn(5)))
			case k == 19:
				tell([]string{"heard ", "failed "}[chance.Intn(2)] + fmt.Sprint(watch))
			}
			switch chance.Intn(60) {
			case 0:
				tell(fmt.Sprintf("reload 10.1.0.%d:85", 1+chance.Intn(3)))
			case 1:
				tell("reload-error")
			case 2:
				tell([]string{"drain on", "drain off"}[chance.Intn(2)])
			}
		}
		tell("stop")
		for now < 1e6 && !s.drain.exiting {
			now = max(now, s.timers.setFor)
			tell("tick")
		}
		require.True(t, s.drain.exiting, "seed %d", seed)
		for c := range open {
			if _, asked := due[c]; c[0] != 's' && !asked && chance.Intn(2) == 0 {
				due[c] = now + 1000
				tell(fmt.Sprintf("came %s OPEN i%s 1 c=feed,t=one,d=1000|", c, c)) // taken in at the last moment
			}
		}
		tell("ended")
		for c := range due {
			require.True(t, answered[c], "seed %d: %s has no answer", seed, c)
		}
		require.Zero(t, s.queue.sessions, "seed %d", seed)
		require.Zero(t, s.Established, "seed %d", seed)
		for _, c := range s.conns.byID {
			require.Nil(t, c.session, "seed %d: left behind", seed)
		}
		require.LessOrEqual(t, len(s.timers.heap), fixedTimers+len(s.conns.byID), "seed %d: a timer of one that is over", seed)
	}
}
