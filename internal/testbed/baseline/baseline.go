// Package baseline has the policies that the testbed compares the balancer with. They offer the balancer's own
// methods, so that the same relay runs on them: random choice; round robin; the backend with the fewest of the
// relay's own sessions, of all, of two drawn ones or of those in its own zone; the backend with the least true
// load, as nothing but a simulation can know it; and the same among the backends that have capacity.
//
// They serve in no deployment. Each session has as many attempts as the balancer's, under the same rules of
// what may be retried. A Policy is not safe for concurrent use.
package baseline

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/balancer"
)

// Kind names a policy, as an experiment's file does.
type Kind string

const (
	Random           Kind = "random"
	RoundRobin       Kind = "round-robin"
	FewestSessions   Kind = "least"
	BetterOfTwo      Kind = "two"
	FewestInOwnZone  Kind = "near"
	TrueLoad         Kind = "sight"
	TrueLoadInLimits Kind = "sight-kept"
)

// String returns the name of the policy in an experiment's file.
func (k Kind) String() string { return string(k) }

func (k Kind) isKnown() bool {
	switch k {
	case Random, RoundRobin, FewestSessions, BetterOfTwo, FewestInOwnZone, TrueLoad, TrueLoadInLimits:
		return true
	default:
		return false
	}
}

// Config is what a Policy is made from.
type Config struct {
	Kind        Kind
	Zone        int // the relay's own
	Seed        uint64
	Classes     []balancer.Class
	MaxAttempts int     // of one session
	RetryAfter  float64 // ms that a rejected client is told to wait

	LoadOf      func(backend uint32) float64 // the true load, for TrueLoad and TrueLoadInLimits
	HasCapacity func(backend uint32) bool    // for one more session, for TrueLoadInLimits
}

// Policy is one policy in one relay.
type Policy struct {
	config    Config
	rng       *rand.Rand
	endpoints endpointSet
	sessions  map[*balancer.Session]*session
	turn      int // of RoundRobin

	candidates    []int   // reused between choices
	resubscribeAt float64 // when to subscribe to the endpoint list again; +Inf: not
}

// session is what a policy knows of one session.
type session struct {
	endpoint      int // index of the latest; noEndpoint: none yet
	attempts      int
	isReserved    bool // its endpoint counts it
	isEstablished bool
	isClientGone  bool
	mayHaveRun    bool // an attempt may have had an effect at its backend
}

// New makes a policy. Its error names the experiment's field that is wrong.
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

// Assign decides where a session goes next, or that it fails.
func (p *Policy) Assign(now float64, s *balancer.Session) balancer.Decision {
	known := p.sessions[s]
	if known == nil {
		known = &session{endpoint: noEndpoint}
		p.sessions[s] = known
	}
	if known.attempts >= p.config.MaxAttempts || now >= s.Deadline || !p.mayRetry(s, known) {
		return p.giveUp(s, known)
	}
	chosen := p.choose(known.endpoint)
	if chosen == noEndpoint {
		return p.giveUp(s, known)
	}
	known.endpoint = chosen
	known.isReserved = true
	known.attempts++
	endpoint := &p.endpoints.all[chosen]
	endpoint.sessions++
	return balancer.Decision{
		Kind:    balancer.Assign,
		Backend: endpoint.id,
		Timeout: s.Deadline - now,
		Attempt: known.attempts - 1,
	}
}

// mayRetry reports whether another attempt can do no harm.
func (p *Policy) mayRetry(s *balancer.Session, known *session) bool {
	return !known.mayHaveRun || p.config.Classes[s.Class].Idempotency == balancer.Idempotent
}

// giveUp rejects a session that can be retried later, and fails one that can't.
func (p *Policy) giveUp(s *balancer.Session, known *session) balancer.Decision {
	delete(p.sessions, s)
	if p.mayRetry(s, known) {
		return balancer.Decision{Kind: balancer.Reject, Wait: p.config.RetryAfter}
	}
	return balancer.Decision{Kind: balancer.Fail}
}

// AttemptFinished decides what follows the outcome of an attempt, or the end of an established session.
func (p *Policy) AttemptFinished(now float64, s *balancer.Session, outcome balancer.AttemptOutcome,
	last bool) balancer.Decision {
	known := p.sessions[s]
	if known == nil || !known.isReserved {
		return balancer.Decision{}
	}
	known.isReserved = false
	p.endpoints.all[known.endpoint].sessions--
	if last || known.isEstablished || known.isClientGone {
		delete(p.sessions, s)
		return balancer.Decision{}
	}
	known.mayHaveRun = known.mayHaveRun || !outcome.IsUnprocessed()
	return p.Assign(now, s)
}

// SessionEstablished takes note that a session is established.
func (p *Policy) SessionEstablished(_ float64, s *balancer.Session) {
	if known := p.sessions[s]; known != nil {
		known.isEstablished = true
	}
}

// SessionResumed takes over a session that was established before.
func (p *Policy) SessionResumed(_ float64, s *balancer.Session, backend uint32) {
	index, isListed := p.endpoints.indices[backend]
	if !isListed {
		return
	}
	p.sessions[s] = &session{endpoint: index, isReserved: true, isEstablished: true}
	p.endpoints.all[index].sessions++
}

// SessionReceived takes over a session that was established at another process.
func (p *Policy) SessionReceived(now float64, s *balancer.Session, backend uint32, _ float64, _ bool) {
	p.SessionResumed(now, s, backend)
}

// ClientDisconnected takes note that the client is gone, and reports whether an attempt or an established
// session is left to end.
func (p *Policy) ClientDisconnected(s *balancer.Session) bool {
	known := p.sessions[s]
	if known == nil {
		return false
	}
	known.isClientGone = true
	if !known.isReserved {
		delete(p.sessions, s)
	}
	return known.isReserved
}

// drainSpread is the time over which sessions are closed in a drain, in milliseconds.
const drainSpread = 1500

// BackendDrainDelay spreads the sessions of a draining backend evenly.
func (p *Policy) BackendDrainDelay(nth, of int) float64 {
	return drainSpread * float64(nth) / float64(of)
}

// ShutdownDrainDelay spreads the sessions of a shutdown over the last part of the time that there is.
func (p *Policy) ShutdownDrainDelay(nth, of int, within float64) float64 {
	return max(within-drainSpread, 0) + p.BackendDrainDelay(nth, of)
}

// HasClass reports whether there is such a class.
func (p *Policy) HasClass(class int) bool { return class < len(p.config.Classes) }
