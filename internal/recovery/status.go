package recovery

// Status is what operators are told.
type Status struct {
	Phase              string   `json:"Phase"`
	Reason             string   `json:"Why"`   // of the phase
	PhaseMillis        float64  `json:"For"`   // since the phase began
	FullOutage         bool     `json:"Whole"` // the start is taken for one of the whole fleet
	CapacityShare      float64  `json:"Part"`  // of backends that warm up, that this relay takes
	Accepted           []string `json:"Took"`  // what was believed, and by which source
	Discarded          []string `json:"Left"`  // what was not, and why
	EndpointsConfirmed bool     `json:"ListTold"`
	PendingAnswers     int      `json:"Waited"`
	Answers            int      `json:"All"`
}

// Status returns how far the relay is.
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
