// Command adapter puts the decision module behind the simulator's wire on standard input and output.
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
