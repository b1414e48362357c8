package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"time"
)

// acceptRetryDelay is the wait after a failed accept, as when no file descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

var errNoBackends = errors.New("backends' addresses expected on standard input, got none")

// RunForwarder runs the bare forwarder: it reads the backends' addresses, one per line, and serves at the address until
// the context ends.
func RunForwarder(ctx context.Context, in io.Reader, address string) error {
	text, err := io.ReadAll(in)
	if err != nil {
		return fmt.Errorf("read backends' addresses: %w", err)
	}
	backends := strings.Fields(string(text))
	if len(backends) == 0 {
		return errNoBackends
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	for {
		client, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go forward(client, backends[rand.Intn(len(backends))])
	}
}

// forward copies bytes between a client and a backend until one of them closes.
func forward(client net.Conn, address string) {
	defer client.Close()
	backend, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer backend.Close()
	go func() {
		io.Copy(backend, client)
		backend.Close()
	}()
	io.Copy(client, backend)
}
