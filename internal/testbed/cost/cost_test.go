package cost

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A short measurement completes without a failed set-up and has a result for each path. The figures themselves depend
// on the machine.
func TestMeasure(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"valeshift", "valeshift-testbed"} {
		output, err := exec.Command("go", "build", "-o", filepath.Join(dir, name),
			"valeshift/cmd/"+name).CombinedOutput()
		require.NoError(t, err, "%s", output)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	all, err := Measure(ctx, Plan{
		RelayCommand:     []string{filepath.Join(dir, "valeshift")},
		ForwarderCommand: []string{filepath.Join(dir, "valeshift-testbed"), "forward"},
		Servers:          30,
		Clients:          4,
		Duration:         300 * time.Millisecond,
		ActiveSessions:   5,
		LineInterval:     10 * time.Millisecond,
		IdleSessions:     50,
		Rounds:           1,
		Dir:              dir,
	})
	require.NoError(t, err)
	require.Len(t, all, 3)
	for i, path := range []string{"relay", "forwarder", "direct"} {
		assert.Equal(t, path, all[i].Path)
		assert.Zero(t, all[i].Failed, path)
		assert.Greater(t, all[i].Setups, 20, path)
		assert.Greater(t, all[i].Lines, int64(50), path)
		assert.Greater(t, all[i].LineP50Millis, 0.0, path)
	}
}

func TestForwarderNeedsBackends(t *testing.T) {
	in, err := os.Open(os.DevNull)
	require.NoError(t, err)
	defer in.Close()
	assert.ErrorIs(t, RunForwarder(context.Background(), in, "127.0.0.1:0"), errNoBackends)
}

// A lost line ends the measurement with an error, since leaving its time out of the figures would go unnoticed.
func TestLostLineIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		in.ReadString('\n')
		conn.Write([]byte("UP receipt\r\n"))
		in.ReadString('\n') // the first line, which is not answered
	}()
	p := &path{name: "lossy", address: func() string { return listener.Addr().String() }}
	plan := Plan{ActiveSessions: 1, Duration: time.Second, LineInterval: 10 * time.Millisecond}
	assert.ErrorIs(t, p.runLines(context.Background(), plan, newLineHistogram()), io.EOF)
}
