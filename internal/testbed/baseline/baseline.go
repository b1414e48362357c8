// Package baseline has the policies that the testbed compares the balancer with: random choice; round robin; the
// backend with the fewest of the relay's own sessions, among all backends, two random ones or those in the relay's
// zone; the backend with the least true load, which only a simulation can know; and the same among the backends
// that have capacity.
//
// A Policy has the same methods as the balancer, so that the same relay runs with either. Policies are not meant
// for deployment. Each session gets as many attempts as from the balancer, under the same rules for retries. A
// Policy is not safe for concurrent use.
package baseline

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/balancer"
)

// Kind is the name of a policy in an experiment file.
type Kind string

const (
	Random               Kind = "random"
	RoundRobin           Kind = "round-robin"
	FewestSessions       Kind = "least"
	PowerOfTwoChoices    Kind = "two"
	FewestSessionsInZone Kind = "near"
	TrueLoad             Kind = "sight"
	TrueLoadWithCapacity Kind = "sight-kept"
)

// String returns the name of the policy in an experiment file.
func (k Kind) String() string { return string(k) }

func (k Kind) isKnown() bool {
	switch k {
	case Random, RoundRobin, FewestSessions, PowerOfTwoChoices, FewestSessionsInZone, TrueLoad, TrueLoadWithCapacity:
		return true
	default:
		return false
	}
}

// Config configures a Policy.
type Config struct {
	Kind        Kind
	Zone        int // zone of the relay
	Seed        uint64
	Classes     []balancer.Class
	MaxAttempts int     // maximum number of attempts of a session
	RetryAfter  float64 // time that a rejected client is told to wait, in ms

	LoadOf      func(backend uint32) float64 // true load of a backend, for TrueLoad and TrueLoadWithCapacity
	HasCapacity func(backend uint32) bool    // whether a backend can take one more session, for TrueLoadWithCapacity
}

// Policy is the policy of one relay.
type Policy struct {
	config          Config
	rng             *rand.Rand
	endpoints       endpointSet
	sessions        map[*balancer.Session]*session
	roundRobinIndex int // counts the choices of RoundRobin

	candidates    []int   // buffer that is reused between choices
	resubscribeAt float64 // time of the next subscription to the endpoint list; +Inf: none is due
}

// session is what a policy knows of one session.
type session struct {
	endpoint      int  // index of the endpoint that it was last assigned to; noEndpoint: none yet
	attempts      int  // number of attempts so far
	isCounted     bool // it counts among the sessions of its endpoint
	isEstablished bool
	isClientGone  bool
	mayHaveRun    bool // an attempt may have been executed by its backend
}

// New returns a policy. Its error names the field of the experiment file that is wrong.
func New(config Config) (*Policy, error) {
	if !config.Kind.isKnown() {
		return nil, fmt.Errorf("variants: no baseline is called %q", config.Kind.String())
	}
	return &Policy{
		config:        config,
		rng:           rand.New(rand.NewSource(int64(config.Seed))),
		endpoints:     endpointSet{indices: map[uint32]int{}},
		sessions:      map[*balancer.Session]*session{},
		resubscribeAt: math.Inf(1),
	}, nil
}

// Assign assigns the session to a backend, or rejects or fails it.
func (p *Policy) Assign(now float64, s *balancer.Session) balancer.Decision {
	state := p.sessions[s]
	if state == nil {
		state = &session{endpoint: noEndpoint}
		p.sessions[s] = state
	}
	if state.attempts >= p.config.MaxAttempts || now >= s.Deadline || !p.mayRetry(s, state) {
		return p.giveUp(s, state)
	}
	chosen := p.choose(state.endpoint)
	if chosen == noEndpoint {
		return p.giveUp(s, state)
	}
	state.endpoint = chosen
	state.isCounted = true
	state.attempts++
	endpoint := &p.endpoints.all[chosen]
	endpoint.sessions++
	return balancer.Decision{
		Kind:    balancer.Assign,
		Backend: endpoint.id,
		Timeout: s.Deadline - now,
		Attempt: state.attempts - 1,
	}
}

// mayRetry reports whether another attempt is safe.
func (p *Policy) mayRetry(s *balancer.Session, state *session) bool {
	return !state.mayHaveRun || p.config.Classes[s.Class].Idempotency == balancer.Idempotent
}

// giveUp rejects a session that its client can safely retry later, and fails any other.
func (p *Policy) giveUp(s *balancer.Session, state *session) balancer.Decision {
	delete(p.sessions, s)
	if p.mayRetry(s, state) {
		return balancer.Decision{Kind: balancer.Reject, Wait: p.config.RetryAfter}
	}
	return balancer.Decision{Kind: balancer.Fail}
}

// AttemptFinished decides what follows the end of an attempt. It also handles the end of an established session.
func (p *Policy) AttemptFinished(now float64, s *balancer.Session, outcome balancer.AttemptOutcome,
	last bool) balancer.Decision {
	state := p.sessions[s]
	if state == nil || !state.isCounted {
		return balancer.Decision{}
	}
	state.isCounted = false
	p.endpoints.all[state.endpoint].sessions--
	if last || state.isEstablished || state.isClientGone {
		delete(p.sessions, s)
		return balancer.Decision{}
	}
	state.mayHaveRun = state.mayHaveRun || !outcome.IsUnprocessed()
	return p.Assign(now, s)
}

// SessionEstablished records that a session is established.
func (p *Policy) SessionEstablished(_ float64, s *balancer.Session) {
	if state := p.sessions[s]; state != nil {
		state.isEstablished = true
	}
}

// SessionResumed adds a session that was established earlier.
func (p *Policy) SessionResumed(_ float64, s *balancer.Session, backend uint32) {
	index, isListed := p.endpoints.indices[backend]
	if !isListed {
		return
	}
	p.sessions[s] = &session{endpoint: index, isCounted: true, isEstablished: true}
	p.endpoints.all[index].sessions++
}

// SessionReceived adds a session that was established in another process of the relay.
func (p *Policy) SessionReceived(now float64, s *balancer.Session, backend uint32, _ float64, _ bool) {
	p.SessionResumed(now, s, backend)
}

// ClientDisconnected records that the client is gone, and reports whether an attempt or an established session is
// still to end.
func (p *Policy) ClientDisconnected(s *balancer.Session) bool {
	state := p.sessions[s]
	if state == nil {
		return false
	}
	state.isClientGone = true
	if !state.isCounted {
		delete(p.sessions, s)
	}
	return state.isCounted
}

// drainSpread is the time over which a drain spreads the closing of sessions, in ms.
const drainSpread = 1500

// BackendDrainDelay spreads the closing of a draining backend's sessions evenly.
func (p *Policy) BackendDrainDelay(index, count int) float64 {
	return drainSpread * float64(index) / float64(count)
}

// ShutdownDrainDelay spreads the closing of all sessions over the last part of the time that a shutdown has.
func (p *Policy) ShutdownDrainDelay(index, count int, within float64) float64 {
	return max(within-drainSpread, 0) + p.BackendDrainDelay(index, count)
}

// HasClass reports whether the policy is configured with the class.
func (p *Policy) HasClass(class int) bool { return class < len(p.config.Classes) }
