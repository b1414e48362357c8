package fleet

import (
	"valeshift/internal/membership"
	"valeshift/internal/recovery"
)

// Status is the state of the fleet as this relay sees it, which GET /_fleet returns and `valeshift fleet` shows.
type Status struct {
	Recovery           recovery.Status    `json:"Recovery"`
	Boot               uint64             `json:"Boot"`
	Order              uint64             `json:"Order"`
	Draining           bool               `json:"Lame"`
	DiskFault          string             `json:"Disk"`    // what is wrong with the disk; empty if nothing is
	RejectedLastSecond int                `json:"Waiting"` // clients rejected per second, a moving average
	Sessions           int                `json:"Links"`
	WarmingUp          int                `json:"Cold"`   // number of usable backends that are warming up
	Usable             int                `json:"Usable"` // number of backends that get sessions
	AheadMillis        float64            `json:"Ahead"`  // ms that this relay's clock is ahead of the fleet's
	HasDuplicate       bool               `json:"Twin"`   // another process runs under this relay's name
	Members            []MemberStatus     `json:"Members"`
	Datagrams          membership.Counts  `json:"Wire"`
	Coordinators       *CoordinatorStatus `json:"Council,omitempty"`
	Replication        *ReplicationStatus `json:"Holdings,omitempty"`
}

// MemberStatus is another relay as this one sees it.
type MemberStatus struct {
	Name               string  `json:"Name"`
	Zone               string  `json:"Zone"`
	Region             string  `json:"Region"`
	State              string  `json:"State"`
	Phase              string  `json:"Phase"`
	Boot               uint64  `json:"Boot"`
	EndpointsVersion   uint64  `json:"List"`    // version of its endpoint list
	AgeMillis          float64 `json:"Age"`     // ms since its start
	SilentMillis       float64 `json:"Quiet"`   // ms since this relay last received a new state of it
	RejectedLastSecond uint32  `json:"Waiting"` // clients rejected per second, a moving average
	Sessions           uint32  `json:"Links"`
	Draining           bool    `json:"Lame"`
}

// Status returns the state of this relay, and of the other relays as this one sees them.
func (c *Core) Status(now float64) Status {
	s := Status{
		Recovery:           c.plan.Status(now),
		Boot:               c.boot,
		Order:              c.orderNumber,
		Draining:           c.draining,
		DiskFault:          c.diskFault,
		RejectedLastSecond: c.relayStatus.RejectedLastSecond,
		Sessions:           c.relayStatus.Sessions,
		WarmingUp:          c.relayStatus.WarmingUp,
		Usable:             c.relayStatus.Usable,
		AheadMillis:        -c.fleetClockOffset,
		Coordinators:       c.coordinatorStatus(now),
		Replication:        c.replicationStatus(now),
	}
	if c.membership == nil {
		return s
	}
	s.Boot = c.membership.LocalState().Boot
	s.Datagrams = c.membership.Counts
	s.HasDuplicate = c.hasDuplicate(now)
	for _, m := range c.membership.Members(now) {
		s.Members = append(s.Members, memberStatus(now, m))
	}
	return s
}

func memberStatus(now float64, m membership.Member) MemberStatus {
	phase := recovery.Phase(min(m.Phase, uint8(recovery.Normal))) // a relay of a later build may have further phases
	return MemberStatus{
		Name:               m.Name,
		Zone:               m.Zone,
		Region:             m.Region,
		State:              m.Liveness.String(),
		Phase:              phase.String(),
		Boot:               m.Boot,
		EndpointsVersion:   m.EndpointsVersion,
		AgeMillis:          m.AgeMillis,
		SilentMillis:       now - m.HeardAt,
		RejectedLastSecond: m.WaitingClients,
		Sessions:           m.Sessions,
		Draining:           m.Draining,
	}
}
