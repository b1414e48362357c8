package procstat

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

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
		address := assign(t, network, i%3) // none is listened on
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

func TestPortsUsedUp(t *testing.T) {
	network := claim(t)
	network.nextPort = lastPort
	assign(t, network, 0)
	_, err := network.AssignAddress(0)
	assert.ErrorIs(t, err, errPortsUsedUp)
}
