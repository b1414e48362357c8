package model

import "valeshift/internal/testbed/experiment"

// Infrastructure is what an environment runs on: virtual time and a simulated network, or processes on loopback
// sockets.
type Infrastructure interface {
	// NewHost returns a host for an actor in a zone, and the address where it can be dialed.
	NewHost(zone int) (host Host, address string)
	// Bind says which actor is at an address from now on.
	Bind(address string, actor Actor)
	// SetUnreachable has nothing pass to or from an address. Connections stay open.
	SetUnreachable(address string, unreachable bool)
	// SetRefusing has an address refuse new connections.
	SetRefusing(address string, refusing bool)
	// IsolateZone has nothing pass between a zone and the others.
	IsolateZone(zone int, isolated bool)

	// KillRelay ends a relay's process at once.
	KillRelay(relay int)
	// StopRelay asks a relay to shut down, as SIGTERM does.
	StopRelay(relay int)
	// StartRelay starts a relay that has ended.
	StartRelay(relay int)
	// ReloadRelay has a relay read its settings again, with another address of discovery.
	ReloadRelay(relay int)
	// DrainRelay gives a relay the operators' order to drain, or takes it back.
	DrainRelay(relay int, drain bool)
	// FreezeRelay stops a relay's process, as SIGSTOP does, or has it go on.
	FreezeRelay(relay int, frozen bool)
	// SetClockOffset has the clock of a relay's machine be ahead by so many milliseconds.
	SetClockOffset(relay int, ahead float64)
	// DamageDisk says what becomes of a relay's disk while it is down.
	DamageDisk(relay int, fault experiment.DiskFault)
	// SetImpairment says what is done from now on to what passes from one machine to another. Machines are
	// relays and experiment.Discovery.
	SetImpairment(from, to int, impairment experiment.Impairment)
	// ReplaceRelay starts another process of a relay on the same socket, and calls done once only that is left.
	ReplaceRelay(relay int, done func())
}
