package consensus

import "fmt"

// raftLogger is the logger that Raft is given. It drops Raft's log messages, as callers get the voter's state
// from Status. Raft calls Fatal and Panic when its state is inconsistent. The voter can't be trusted then, so
// these methods panic, which ends the process.
type raftLogger struct{}

// Debug drops the message.
func (raftLogger) Debug(...any) {}

// Debugf drops the message.
func (raftLogger) Debugf(string, ...any) {}

// Info drops the message.
func (raftLogger) Info(...any) {}

// Infof drops the message.
func (raftLogger) Infof(string, ...any) {}

// Warning drops the message.
func (raftLogger) Warning(...any) {}

// Warningf drops the message.
func (raftLogger) Warningf(string, ...any) {}

// Error drops the message: Raft continues after an error.
func (raftLogger) Error(...any) {}

// Errorf drops the message: Raft continues after an error.
func (raftLogger) Errorf(string, ...any) {}

// Fatal panics.
func (raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
