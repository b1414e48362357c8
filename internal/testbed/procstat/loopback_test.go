package procstat

import (
	"context"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// claim claims a network and releases it at the end of the test.
func claim(t *testing.T) *LoopbackNetwork {
	t.Helper()
	network, err := ClaimLoopbackNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { network.Close() })
	return network
}

func assign(t *testing.T, network *LoopbackNetwork, machine int) string {
	t.Helper()
	address, err := network.AssignAddress(machine)
	require.NoError(t, err)
	return address
}

func TestNetworksHeldAtOnceShareNoHost(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		network := claim(t)
		for _, host := range []string{network.MachineHost(0), network.MachineHost(250), network.ProxyHost(0),
			network.ProxyHost(250)} {
			assert.False(t, seen[host], host)
			seen[host] = true
		}
	}
}

func TestAllNetworksCanBeHeldOnceAndAgainAfterTheirRelease(t *testing.T) {
	var held []*LoopbackNetwork
	for {
		network, err := ClaimLoopbackNetwork()
		if err != nil {
			assert.ErrorIs(t, err, errAllNetworksHeld)
			break
		}
		held = append(held, network)
	}
	require.NotEmpty(t, held)
	for _, network := range held {
		require.NoError(t, network.Close())
	}
	claim(t)
}

func TestAssignedAddressIsAssignedOnce(t *testing.T) {
	network := claim(t)
	seen := map[string]bool{}
	for i := range 1000 {
		address := assign(t, network, i%3) // nothing listens on the addresses
		assert.False(t, seen[address], address)
		seen[address] = true
		assert.True(t, strings.HasPrefix(address, network.MachineHost(i%3)+":"), address)
	}
}

func TestAssignedPortIsNotOneOfTheKernels(t *testing.T) {
	network := claim(t)
	_, port, err := net.SplitHostPort(assign(t, network, 0))
	require.NoError(t, err)
	assert.Len(t, port, 5)
	assert.Less(t, port, "32768", "ip_local_port_range begins there")
}

func TestTakenPortIsNotAssigned(t *testing.T) {
	tests := []struct {
		name string
		take func(t *testing.T, address string)
	}{
		{"by TCP", func(t *testing.T, address string) {
			listener, err := net.Listen("tcp", address)
			require.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
		}},
		{"by UDP", func(t *testing.T, address string) {
			socket, err := net.ListenPacket("udp", address)
			require.NoError(t, err)
			t.Cleanup(func() { socket.Close() })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := claim(t)
			taken := assign(t, network, 0)
			test.take(t, taken)
			network.nextPort = firstPort
			assert.NotEqual(t, taken, assign(t, network, 0))
		})
	}
}

// Parallel tests start relay processes while other tests are assigned addresses. A child that inherited the sockets of
// the check whether an address is free would keep listening on that address.
func TestAssignedAddressStaysFreeWhileProcessesStart(t *testing.T) {
	const (
		starters  = 4
		addresses = 2000
	)
	network := claim(t)
	ctx, stop := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for ctx.Err() == nil {
				assert.NoError(t, exec.Command("/bin/true").Run())
			}
		})
	}
	var taken []error
	for range addresses {
		listener, err := net.Listen("tcp", assign(t, network, 0))
		if err != nil {
			taken = append(taken, err)
			continue
		}
		listener.Close()
	}
	stop()
	starting.Wait()
	assert.Empty(t, taken)
}

func TestPortsUsedUp(t *testing.T) {
	network := claim(t)
	network.nextPort = lastPort
	assign(t, network, 0)
	_, err := network.AssignAddress(0)
	assert.ErrorIs(t, err, errPortsUsedUp)
}
