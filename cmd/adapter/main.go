// Command adapter runs the balancer in the simulator: it answers batches of events on standard input with replies on
// standard output, until the input ends. It exits with 1 where the input breaks the protocol.
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
