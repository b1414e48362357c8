package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListener reports a descriptor that is no listening TCP socket.
var ErrNotListener = errors.New("a listening socket expected")

// CheckListener reports whether the descriptor is a listening socket, and leaves it as it is. Its errors are
// ErrNotListener.
func CheckListener(fd int) error {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotListener, err)
	}
	if listening == 0 {
		return fmt.Errorf("%w, got another", ErrNotListener)
	}
	return nil
}

// InheritListener returns the listening socket that this process inherited as that descriptor, and closes the
// descriptor. The socket is never shut down, which would end it for the other process, too.
func InheritListener(fd int) (*net.TCPListener, error) {
	if err := CheckListener(fd); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // net.FileListener has made a descriptor of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("%w of TCP, got another", ErrNotListener)
	}
	return tcpListener, nil
}
