package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListener is returned for a descriptor that is not a listening TCP socket.
var ErrNotListener = errors.New("a listening socket expected")

// CheckListener returns an error that wraps ErrNotListener unless the descriptor is a listening socket. It
// does not change the descriptor.
func CheckListener(fd int) error {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotListener, err)
	}
	if listening == 0 {
		return fmt.Errorf("%w: the socket does not listen", ErrNotListener)
	}
	return nil
}

// InheritListener returns a listener for the listening socket that this process inherited as that descriptor,
// and closes the descriptor. The socket is never shut down, because that would affect the other process, too.
func InheritListener(fd int) (*net.TCPListener, error) {
	if err := CheckListener(fd); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("%w: the socket does not use TCP", ErrNotListener)
	}
	return tcpListener, nil
}
