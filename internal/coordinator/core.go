// Package coordinator is one failover coordinator as a whole: it receives what relays observe of zones, agrees
// with the other coordinators on what follows from that (packages failover and consensus), and announces the
// decisions to whoever asks. Core holds all state and does no I/O, so that it runs under virtual time; Node
// drives it on a socket, a store and HTTP. No relay's session ever waits for a coordinator. Times without a
// unit are milliseconds.
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
	policyIntervalMillis  = 100.0
	proposalTimeoutMillis = 1000.0 // for a proposal to be decided, before another is made
)

// Core is one coordinator without its I/O. It isn't safe for concurrent use.
type Core struct {
	voter            *consensus.Voter
	decisions        *failover.DecisionLog // what the voters have agreed on
	policy           *failover.Policy
	clockOffset      float64 // Unix time less the time that comes in
	evaluatedAt      float64 // when the policy was evaluated last; -Inf: never
	proposal         policyProposal
	expiryProposedAt map[string]float64   // by the order's ID
	fromLeader       receivedAnnouncement // where another leads
	encoded          encodedZones
}

// policyProposal is a proposal of the policy that is not decided yet.
type policyProposal struct {
	madeAt float64 // +Inf: there is none
	after  uint64  // number of the last decision then
}

// New starts a coordinator on what its disk holds (nil: nothing). Its errors are those of consensus.New.
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

// Tick advances the coordinator to that time. Unix time, by the machine's clock, is for the expiry of orders
// and for the history.
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

// proposeExpiries proposes the end of each order that has expired.
func (c *Core) proposeExpiries(now, unixMillis float64) {
	for _, id := range c.decisions.ExpiredOrderIDs(unixMillis) {
		if now <= c.expiryProposedAt[id]+proposalTimeoutMillis {
			continue
		}
		c.expiryProposedAt[id] = now
		// What is refused now is proposed again after the timeout.
		c.propose(now, failover.Command{ExpiredOrderID: id, Cause: failover.CauseOrderExpired})
	}
}

// proposePolicy proposes what the policy would change, unless an earlier proposal awaits its decision.
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

// SetZones sets the zones that are decided on from now on, once this coordinator leads.
func (c *Core) SetZones(zones []failover.Zone) { c.policy.SetZones(zones) }

// lastDecisionNumber returns the number of the last decision, a rejected one included; 0: there is none.
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

// SubmitOrder proposes an operator's order; DecisionOnOrder tells what has become of it. An order that was
// decided before is not proposed again. Only the leader accepts orders: the errors are those of
// consensus.Voter.Propose.
func (c *Core) SubmitOrder(now float64, order failover.OperatorOrder) error {
	if _, isDecided := c.decisions.DecisionOnOrder(order.ID); isDecided {
		return nil
	}
	return c.propose(now, failover.Command{Order: &order, Cause: failover.CauseOrdered(order)})
}

// DecisionOnOrder returns what was decided on the order of that ID; false: nothing yet.
func (c *Core) DecisionOnOrder(id string) (failover.Decision, bool) {
	return c.decisions.DecisionOnOrder(id)
}

// ReceiveMessage processes a message between voters.
func (c *Core) ReceiveMessage(now float64, data []byte) { c.voter.Receive(now, data) }

// Ready returns what is to be stored and sent now, as consensus.Voter.Ready does.
func (c *Core) Ready() consensus.Ready { return c.voter.Ready() }

// Advance confirms that what Ready returned is durable.
func (c *Core) Advance() { c.voter.Advance() }

// HasLease tells whether this coordinator leads and no other can.
func (c *Core) HasLease(now float64) bool { return c.voter.HasLease(now) }

// Status is what operators are told of a coordinator.
type Status struct {
	consensus.Status
	HasLease       bool                     `json:"Leads"`
	DecisionNumber uint64                   `json:"Number"` // of the last that was not rejected
	Zones          []failover.Zone          `json:"Zones"`  // as they hold, orders included
	Orders         []failover.OperatorOrder `json:"Orders"`
}

// Status returns how things stand at this coordinator. Its orders are those of the core: they are to be read
// before the core's next call.
func (c *Core) Status(now float64) Status {
	return Status{
		Status:         c.voter.Status(),
		HasLease:       c.voter.HasLease(now),
		DecisionNumber: c.decisions.Number,
		Zones:          c.decisions.EffectiveZones(),
		Orders:         c.decisions.Orders,
	}
}

// History returns the latest decisions, the oldest first. They are the core's: to be read before its next
// call.
func (c *Core) History() []failover.Decision { return c.decisions.History }
