package failover

import "fmt"

// Reason tells operators why a zone is in its state. It is stored and displayed, but no program interprets it.
type Reason string

const (
	reasonReturned       Reason = "returned"
	reasonReturnContinue Reason = "returns step by step"
)

// String returns the text of the reason.
func (r Reason) String() string { return string(r) }

func reasonFailing(failureRate float64) Reason {
	return Reason(fmt.Sprintf("%.0f%% of attempts fail", 100*failureRate))
}

func reasonHealthy(millis float64) Reason {
	return Reason(fmt.Sprintf("healthy for %.0f s", millis/1000))
}

func reasonCapacity(share float64) Reason {
	return Reason(fmt.Sprintf("has capacity for %.0f%% of the work near it", 100*share))
}

func reasonOrdered(order *OperatorOrder) Reason { return Reason("order: " + order.Reason) }

// reasonLastResort is the reason of a zone that serves although the policy emptied it, as the operators' orders
// leave no other zone that does.
func reasonLastResort(before Reason) Reason {
	return "orders leave no other zone that serves; " + before
}

// Cause tells operators why a decision was proposed. It is stored and displayed, but no program interprets it.
type Cause string

const (
	CauseOrderExpired    Cause = "the order has expired"
	causeCapacity        Cause = "capacity"
	causeZonesConfigured Cause = "the configured zones"
)

// String returns the text of the cause.
func (c Cause) String() string { return string(c) }

// CauseOrdered returns the cause of a decision on an operator's order.
func CauseOrdered(o OperatorOrder) Cause {
	return Cause(fmt.Sprintf("%s %s by %s: %s", o.Action, o.Zone, o.IssuedBy, o.Reason))
}

// causeTransition returns the cause of a decision that changes a zone's state or share.
func causeTransition(zone Zone, reason Reason) Cause {
	return Cause(fmt.Sprintf("%s %s: %s", zone.Name, zone.State, reason))
}
