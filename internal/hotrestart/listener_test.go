package hotrestart

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestInheritListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	fd, err := syscall.Dup(int(f.Fd()))
	require.NoError(t, err)
	f.Close()
	inherited, err := InheritListener(fd)
	require.NoError(t, err)
	require.NoError(t, inherited.Close())
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err, "closing the inherited listener must not affect the other process")
	c.Close()
	l.Close()

	for name, open := range map[string]func() int{
		"closed": func() int { return 987 },
		"a file": func() int {
			fd, _ := syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
			return fd
		},
		"not listening": func() int {
			fd, _ := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
			return fd
		},
	} {
		fd := open()
		_, err := InheritListener(fd)
		assert.ErrorIs(t, err, ErrNotListener, name)
		syscall.Close(fd)
	}
}
