// Package procstat has what the lab needs of the machine to run programs beside itself: a free port, and what a
// process has used.
package procstat

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
)

// FreeAddress gives an address on loopback whose port is free; it is given back to whoever listens there next.
func FreeAddress() (string, error) { return FreeAddressOn("127.0.0.1") }

// FreeAddressOn does so at that address of loopback.
func FreeAddressOn(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Usage reads what a process has used of CPU, in seconds, and what memory it holds, in bytes; nothing of one
// that is over.
func Usage(pid int) (cpu float64, resident int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	number := func(i int) int64 {
		v, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return v
	}
	return float64(number(11)+number(12)) / 100, number(21) * int64(os.Getpagesize())
}
