// Package procstat helps the testbed to run other programs on the same machine: it assigns them loopback addresses to
// listen on, and reads the CPU time and the memory that they use.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// The fields of /proc/PID/stat that are read, as indexes from the field after the program's name (see proc(5)).
const (
	userTicksField     = 11
	systemTicksField   = 12
	residentPagesField = 21

	ticksPerSecond = 100 // USER_HZ, the same on all Linux platforms that Go runs on
)

// Usage returns the CPU time that a process has used, in seconds, and its resident memory, in bytes. Both are zero if
// the process has ended.
func Usage(pid int) (cpuSeconds float64, residentBytes int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The program's name is in parentheses and may contain any character, also a closing parenthesis.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	number := func(field int) int64 {
		n, _ := strconv.ParseInt(string(fields[field]), 10, 64)
		return n
	}
	ticks := number(userTicksField) + number(systemTicksField)
	return float64(ticks) / ticksPerSecond, number(residentPagesField) * int64(os.Getpagesize())
}
