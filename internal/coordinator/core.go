// Package coordinator implements a failover coordinator. It receives the relays' observations of zones, agrees
// with the other coordinators on decisions (packages failover and consensus), and announces these to relays and
// coordinators that ask. Core holds all state and does no I/O, so that it can run under virtual time; Node runs
// it on a socket, a store and HTTP. No relay's session ever waits for a coordinator. Times without a unit are
// milliseconds.
package coordinator

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

const (
	policyIntervalMillis  = 100.0  // between two evaluations of the policy
	proposalTimeoutMillis = 1000.0 // longest wait for the decision on a proposal, before another is made
)

// Core is one coordinator without its I/O. It isn't safe for concurrent use.
type Core struct {
	voter            *consensus.Voter
	decisions        *failover.DecisionLog // decisions that the voters have agreed on
	policy           *failover.Policy
	clockOffset      float64 // Unix time minus the time passed in by the caller
	evaluatedAt      float64 // time of the last evaluation of the policy; -Inf: never
	proposal         policyProposal
	expiryProposedAt map[string]float64   // times of the last proposals to expire orders, by order ID
	fromLeader       receivedAnnouncement // last announcement of another coordinator that leads
	encoded          encodedZones
}

// policyProposal is the policy's proposal that awaits a decision.
type policyProposal struct {
	madeAt float64 // time of the proposal; +Inf: none awaits a decision
	after  uint64  // number of the last decision at that time
}

// New starts a coordinator on the contents of its disk (nil: empty). Its errors are those of consensus.New.
func New(now float64, self consensus.Member, voters []consensus.Member, zones []failover.Zone, disk []byte,
	rng *rand.Rand) (*Core, error) {
	c := &Core{
		decisions:        &failover.DecisionLog{},
		policy:           failover.NewPolicy(zones),
		evaluatedAt:      math.Inf(-1),
		proposal:         policyProposal{madeAt: math.Inf(1)},
		expiryProposedAt: map[string]float64{},
		fromLeader:       receivedAnnouncement{receivedAt: math.Inf(-1)},
	}
	voter, err := consensus.New(now, self, voters, disk, c.decisions, rng)
	if err != nil {
		return nil, fmt.Errorf("start coordinator: %w", err)
	}
	c.voter = voter
	return c, nil
}

// Tick advances the coordinator to the given time. Unix time, by the machine's clock, is used for the expiry of
// orders and in the history.
func (c *Core) Tick(now, unixMillis float64) {
	c.clockOffset = unixMillis - now
	c.voter.Tick(now)
	if !c.voter.HasLease(now) || now < c.evaluatedAt+policyIntervalMillis {
		return
	}
	c.evaluatedAt = now
	isDecided := c.lastDecisionNumber() != c.proposal.after
	if isDecided || now > c.proposal.madeAt+proposalTimeoutMillis {
		c.proposal.madeAt = math.Inf(1)
	}
	c.proposeExpiries(now, unixMillis)
	c.proposePolicy(now)
}

// proposeExpiries proposes to end each order that has expired.
func (c *Core) proposeExpiries(now, unixMillis float64) {
	for _, id := range c.decisions.ExpiredOrderIDs(unixMillis) {
		if now <= c.expiryProposedAt[id]+proposalTimeoutMillis {
			continue
		}
		c.expiryProposedAt[id] = now
		// A proposal that is refused now is made again after the timeout.
		c.propose(now, failover.Command{ExpiredOrderID: id, Cause: failover.CauseOrderExpired})
	}
}

// proposePolicy proposes the changes that the policy asks for, unless an earlier proposal awaits its decision.
func (c *Core) proposePolicy(now float64) {
	if !math.IsInf(c.proposal.madeAt, 1) {
		return
	}
	command, isChanged := c.policy.Evaluate(now, c.decisions)
	if !isChanged || c.propose(now, command) != nil {
		return
	}
	c.proposal = policyProposal{madeAt: now, after: c.lastDecisionNumber()}
}

// SetZones replaces the zones to decide on. This takes effect while this coordinator leads.
func (c *Core) SetZones(zones []failover.Zone) { c.policy.SetZones(zones) }

// lastDecisionNumber returns the number of the last decision, including rejected ones; 0: there is none.
func (c *Core) lastDecisionNumber() uint64 {
	history := c.decisions.History
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].Number
}

// propose proposes a command to the voters. Its errors are those of consensus.Voter.Propose.
func (c *Core) propose(now float64, command failover.Command) error {
	command.ProposedAt = now + c.clockOffset
	data, err := json.Marshal(command)
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	return c.voter.Propose(now, data)
}

// SubmitOrder proposes an operator order; DecisionOnOrder returns its result. An order that was decided before is
// not proposed again. Only the leader accepts orders. The errors are those of consensus.Voter.Propose.
func (c *Core) SubmitOrder(now float64, order failover.OperatorOrder) error {
	if _, isDecided := c.decisions.DecisionOnOrder(order.ID); isDecided {
		return nil
	}
	return c.propose(now, failover.Command{Order: &order, Cause: failover.CauseOrdered(order)})
}

// DecisionOnOrder returns the decision on the order with the given ID; false: there is none yet.
func (c *Core) DecisionOnOrder(id string) (failover.Decision, bool) {
	return c.decisions.DecisionOnOrder(id)
}

// ReceiveMessage processes a message from another voter.
func (c *Core) ReceiveMessage(now float64, data []byte) { c.voter.Receive(now, data) }

// Ready returns what is to be stored and sent now, as consensus.Voter.Ready does.
func (c *Core) Ready() consensus.Ready { return c.voter.Ready() }

// Advance confirms that the state returned by Ready is durable.
func (c *Core) Advance() { c.voter.Advance() }

// HasLease reports whether this coordinator leads and no other can.
func (c *Core) HasLease(now float64) bool { return c.voter.HasLease(now) }

// Status is the state of a coordinator as operators see it.
type Status struct {
	consensus.Status
	HasLease       bool                     `json:"Leads"`
	DecisionNumber uint64                   `json:"Number"` // number of the last decision that was not rejected
	Zones          []failover.Zone          `json:"Zones"`  // zones as now in force, with orders applied
	Orders         []failover.OperatorOrder `json:"Orders"`
}

// Status returns this coordinator's current state. Its orders are not copied, so they have to be read before the
// next call of a method of the core.
func (c *Core) Status(now float64) Status {
	return Status{
		Status:         c.voter.Status(),
		HasLease:       c.voter.HasLease(now),
		DecisionNumber: c.decisions.Number,
		Zones:          c.decisions.EffectiveZones(),
		Orders:         c.decisions.Orders,
	}
}

// History returns the latest decisions, oldest first. They are not copied, so they have to be read before the
// next call of a method of the core.
func (c *Core) History() []failover.Decision { return c.decisions.History }
