// Command adapter connects the balancer to an external simulator: it answers each batch of events on standard input
// with a reply on standard output, until the input ends. It exits with 1 if the input violates the protocol.
package main

import (
	"fmt"
	"os"

	"valeshift/internal/adapter"
)

func main() {
	if err := adapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
