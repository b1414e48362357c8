package recovery

// Status is the state of the recovery as shown to operators.
type Status struct {
	Phase              string   `json:"Phase"`
	Reason             string   `json:"Why"`      // why the relay entered the phase
	PhaseMillis        float64  `json:"For"`      // milliseconds since the phase began
	FullOutage         bool     `json:"Whole"`    // whether the relay assumes that the whole fleet was down
	CapacityShare      float64  `json:"Part"`     // this relay's share of the capacity of backends that are warming up
	Accepted           []string `json:"Took"`     // the restored state that was accepted, with its source
	Discarded          []string `json:"Left"`     // the restored state that was discarded, with the reason
	EndpointsConfirmed bool     `json:"ListTold"` // whether discovery has confirmed the endpoints since the start
	PendingAnswers     int      `json:"Waited"`   // number of relays that were queried and haven't answered
	Answers            int      `json:"All"`      // number of relays whose snapshots were received
}

// Status returns the current state of the recovery.
func (p *Plan) Status(now float64) Status {
	return Status{
		Phase:              p.phase.String(),
		Reason:             p.reason,
		PhaseMillis:        now - p.phaseSince,
		FullOutage:         p.fullOutage,
		CapacityShare:      p.capacityShare,
		Accepted:           p.accepted,
		Discarded:          p.discarded,
		EndpointsConfirmed: p.endpointsConfirmed,
		PendingAnswers:     len(p.pending),
		Answers:            len(p.sources),
	}
}
