package procstat

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// Each network is a /16 of the loopback range, identified by its second octet. 127.0.0.0/16 is left out, since outgoing
// connections and other programs use 127.0.0.1.
const (
	firstNetwork = 1
	lastNetwork  = 250
)

// Assigned ports are below those that the kernel picks for outgoing connections and for listeners on port 0 (32768 and
// up, see ip_local_port_range in ip(7)). So the kernel never gives an assigned port to others before its process has
// started, or while that process is down.
const (
	claimPort = 19999 // port that the holder of a network listens on
	firstPort = 20000 // lowest port that is assigned
	lastPort  = 31999 // highest port that is assigned
)

const machinesPerOctet = 200 // machines whose addresses have the same third octet

var (
	errAllNetworksHeld = errors.New("claim a loopback network: all are held")
	errPortsUsedUp     = errors.New("assign a loopback address: no port is left")
)

// claimCount has each claim of this process start its search at another network. So a network that was just released is
// not claimed again at once, while processes of its last holder may still be ending.
var claimCount atomic.Int64

// LoopbackNetwork is a range of loopback addresses that one run holds exclusively, also among runs of other processes
// on the machine. It assigns no address twice, so an address stays reserved for its owner even while nothing listens on
// it. It is safe for concurrent use.
type LoopbackNetwork struct {
	secondOctet int
	claim       net.Listener // on claimPort, open while the network is held

	mutex    sync.Mutex // guards the fields below
	nextPort int
}

// runPidfdProbe makes package os run its probe for pidfds now. It runs that once per process, and the probe forks a
// child without holding syscall.ForkLock, on which isFree relies.
func runPidfdProbe() {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		self.Release()
	}
}

// ClaimLoopbackNetwork claims a network that no run on this machine holds. It is held until it is closed or this
// process ends.
func ClaimLoopbackNetwork() (*LoopbackNetwork, error) {
	runPidfdProbe()
	const count = lastNetwork - firstNetwork + 1
	start := os.Getpid() + int(claimCount.Add(1))
	for i := range count {
		secondOctet := firstNetwork + (start+i)%count
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", secondOctet, claimPort))
		if err == nil {
			return &LoopbackNetwork{secondOctet: secondOctet, claim: claim, nextPort: firstPort}, nil
		}
	}
	return nil, errAllNetworksHeld
}

// Close releases the network. The processes that listen on its addresses must have ended before.
func (n *LoopbackNetwork) Close() error { return n.claim.Close() }

// MachineHost returns a machine's own host address, without a port. Machines count from 0.
func (n *LoopbackNetwork) MachineHost(machine int) string { return n.host(1, machine) }

// ProxyHost returns the host address, without a port, on which the proxies that a machine dials listen. It differs from
// the machine's own host address because proxies listen on any free port.
func (n *LoopbackNetwork) ProxyHost(machine int) string { return n.host(101, machine) }

func (n *LoopbackNetwork) host(thirdOctet, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.secondOctet, thirdOctet+machine/machinesPerOctet,
		1+machine%machinesPerOctet)
}

// AssignAddress returns an address of a machine with a port that is free for both TCP and UDP and was not assigned
// before in this network.
func (n *LoopbackNetwork) AssignAddress(machine int) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for n.nextPort <= lastPort {
		address := fmt.Sprintf("%s:%d", n.MachineHost(machine), n.nextPort)
		n.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errPortsUsedUp
}

// isFree reports whether a process can listen on an address for both TCP and UDP. It can't if some process listens on
// the port at all addresses of the host. isFree holds syscall.ForkLock, so that this process forks no child meanwhile:
// until it executes its program, the child would hold copies of the sockets and keep listening on the address.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	socket.Close()
	return true
}
