// Package procstat has what the testbed needs of the machine to run programs beside itself: addresses to listen
// on, and what a process has used.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// The fields of /proc/PID/stat that are read, counted from the one behind the program's name (see proc(5)).
const (
	userTicksField     = 11
	systemTicksField   = 12
	residentPagesField = 21

	ticksPerSecond = 100 // USER_HZ, the same on all Linux platforms that Go runs on
)

// Usage returns the CPU time that a process has used, in seconds, and the memory that it holds, in bytes; zeros
// for a process that has ended.
func Usage(pid int) (cpuSeconds float64, residentBytes int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The program's name is in parentheses and may hold any character.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	number := func(field int) int64 {
		n, _ := strconv.ParseInt(string(fields[field]), 10, 64)
		return n
	}
	ticks := number(userTicksField) + number(systemTicksField)
	return float64(ticks) / ticksPerSecond, number(residentPagesField) * int64(os.Getpagesize())
}
