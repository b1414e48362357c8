package relay

// This file is where the driver carries out the state machine's effects.

import "time"

// carryOut does what the state machine asks for, in order. The lock is held.
func (d *driver) carryOut(effects []Effect) {
	for i := 0; i < len(effects); i++ {
		switch e := effects[i].(type) {
		case *Write:
			i += d.writeRun(e, effects[i+1:])
		case *Dial:
			d.dial(e.Conn, e.ForClient, e.Address)
		case *Close:
			d.closeOrReset(e.Conn, gracefully)
		case *Reset:
			d.closeOrReset(e.Conn, byReset)
		case *PauseAccept:
			d.pauseAccept(true)
		case *ResumeAccept:
			d.pauseAccept(false)
		case *ReplicationRequest:
			d.fleet.Replicate(*e)
		case *StartWatch:
			d.discovery.start(e.Address, e.Watch, e.After)
		case *StopWatch:
			d.discovery.stop()
		case *SendHandoff, *SendEndpoints, *TransferSession, *SessionDetached, *SessionAccepted:
			d.carryOutHandoff(e)
		default:
			d.carryOutProcess(e)
		}
	}
}

// writeRun writes the chunks of a Write together with those of the writes to the same connection that follow it, and
// returns how many those are.
func (d *driver) writeRun(first *Write, following []Effect) int {
	d.chunks = append(d.chunks[:0], first.Chunks...)
	merged := 0
	for _, effect := range following {
		write, isWrite := effect.(*Write)
		if !isWrite || write.Conn != first.Conn {
			break
		}
		d.chunks = append(d.chunks, write.Chunks...)
		merged++
	}
	d.write(first.Conn, d.chunks)
	return merged
}

// pauseAccept has clients accepted no longer, or again.
func (d *driver) pauseAccept(on bool) {
	d.accept.paused = on
	d.accept.changed.Broadcast()
	if d.accept.ending {
		return // the listener's deadline is that of its last connections
	}
	if on { // also where a client is waited for already: the next is not accepted
		d.listener.SetDeadline(time.Unix(1, 0))
	} else {
		d.listener.SetDeadline(time.Time{})
	}
}

// carryOutProcess does what concerns this process as a whole.
func (d *driver) carryOutProcess(effect Effect) {
	switch e := effect.(type) {
	case *SetTimer:
		d.timer.Reset(time.Duration(max(e.At-d.now(), 0) * float64(time.Millisecond)))
	case *Log:
		d.log.Info(e.Message, e.Args...)
	case *AnnounceReady:
		if d.slot != nil {
			d.logSiblingError(d.slot.MarkReady())
		}
	case *Exit:
		close(d.exit)
	}
}

// carryOutHandoff does what concerns the other process of this relay.
func (d *driver) carryOutHandoff(effect Effect) {
	switch e := effect.(type) {
	case *SendHandoff:
		child, handoff := d.siblings.handoffChild, e.Handoff
		d.workers.run(func() { d.sendRecord(d.slot.SendHandoff, child, handoff) })
	case *SendEndpoints:
		if sibling, update := d.siblings.nearest, e.Update; sibling > 0 {
			d.workers.run(func() { d.sendRecord(d.slot.SendMessage, sibling, update) })
		}
	case *TransferSession:
		clientConn, backendConn := e.ClientConn, e.BackendConn
		d.transfers.pending.Add(1)
		d.workers.run(func() { d.transferSession(clientConn, backendConn) })
	case *SessionDetached:
		d.detached = e.Session
	case *SessionAccepted:
		d.acceptedBackendConn = e.BackendConn
	}
}
