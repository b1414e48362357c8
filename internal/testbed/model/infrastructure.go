package model

import "valeshift/internal/testbed/experiment"

// Infrastructure controls what an environment runs on: virtual time and a simulated network, or processes on
// loopback sockets.
type Infrastructure interface {
	// NewHost returns a host for an actor in a zone, and the address where it can be dialed.
	NewHost(zone int) (host Host, address string)
	// Bind sets which actor answers at an address from now on.
	Bind(address string, actor Actor)
	// SetUnreachable blocks everything that is sent to or from an address, or lets it pass again. Connections stay
	// open.
	SetUnreachable(address string, unreachable bool)
	// SetRefusing makes an address refuse new connections, or accept them again.
	SetRefusing(address string, refusing bool)
	// IsolateZone blocks everything between a zone and the others, or lets it pass again.
	IsolateZone(zone int, isolated bool)

	// KillRelay kills a relay's process.
	KillRelay(relay int)
	// StopRelay asks a relay to shut down, as SIGTERM does.
	StopRelay(relay int)
	// StartRelay starts a relay that has ended.
	StartRelay(relay int)
	// ReloadRelay makes a relay read its settings again, which name another address of discovery.
	ReloadRelay(relay int)
	// DrainRelay gives a relay the operators' order to drain, or withdraws it.
	DrainRelay(relay int, drain bool)
	// FreezeRelay stops a relay's process as SIGSTOP does, or continues it.
	FreezeRelay(relay int, frozen bool)
	// SetClockOffset sets the clock of a relay's machine ahead by that many milliseconds.
	SetClockOffset(relay int, ahead float64)
	// DamageDisk applies a fault to a relay's disk while the relay is down.
	DamageDisk(relay int, fault experiment.DiskFault)
	// SetImpairment sets how everything sent from one machine to another is impaired from now on. Machines are the
	// relays, by number, and experiment.Discovery.
	SetImpairment(from, to int, impairment experiment.Impairment)
	// ReplaceRelay starts another process of a relay on the same socket, and calls done once only the new process
	// is left.
	ReplaceRelay(relay int, done func())
}
