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

// Each network is a /16 of the loopback range, by its second octet. 127.0.0.0/16 is left out: outgoing
// connections and everybody's 127.0.0.1 are there.
const (
	firstNetwork = 1
	lastNetwork  = 250
)

// Ports that are assigned lie below those that the kernel gives to outgoing connections and to listeners on port
// 0 (32768 and up, see ip_local_port_range in ip(7)). It never gives one of them away while a process that is to
// listen there doesn't run, be it not yet or not now.
const (
	claimPort = 19999 // listened on by who holds the network
	firstPort = 20000
	lastPort  = 31999
)

const machinesPerOctet = 200

var (
	errAllNetworksHeld = errors.New("claim a loopback network: all are held")
	errPortsUsedUp     = errors.New("assign a loopback address: no port is left")
)

// claimCount spreads the claims of this process: a network that was released is not claimed again at once, as
// processes of its former holder may still be ending.
var claimCount atomic.Int64

// LoopbackNetwork is a range of loopback addresses that one run holds alone, also where runs of several processes
// go on side by side. It assigns no address twice, so one stays its owner's while nobody listens on it. It is safe
// for concurrent use.
type LoopbackNetwork struct {
	secondOctet int
	claim       net.Listener

	mutex    sync.Mutex // over what follows
	nextPort int
}

// runPidfdProbe has package os run its probe for pidfds now, which it does once a process. The probe forks a child without
// syscall.ForkLock, on which isFree relies.
func runPidfdProbe() {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		self.Release()
	}
}

// ClaimLoopbackNetwork claims a network that nobody holds, until it is closed or this process ends.
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

// Close releases the network. Whoever listens on its addresses has to be ended before.
func (n *LoopbackNetwork) Close() error { return n.claim.Close() }

// MachineHost returns a machine's own host address, without a port. Machines count from 0.
func (n *LoopbackNetwork) MachineHost(machine int) string { return n.host(1, machine) }

// ProxyHost returns the host address where the proxies that a machine dials listen. It is apart from the
// machine's own, as proxies take any port.
func (n *LoopbackNetwork) ProxyHost(machine int) string { return n.host(101, machine) }

func (n *LoopbackNetwork) host(thirdOctet, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.secondOctet, thirdOctet+machine/machinesPerOctet,
		1+machine%machinesPerOctet)
}

// AssignAddress returns an address of a machine, with a port that no other address of this network has and that
// is free for TCP and UDP.
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

// isFree is whether an address can be listened on for both TCP and UDP. Somebody who listens on all of the host's
// addresses takes it too. No process is forked meanwhile: until it executes its program, the child would hold copies
// of the sockets and go on listening on the address.
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
