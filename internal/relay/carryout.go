package relay

// This file carries out the state machine's effects.

import "time"

// carryOut carries out effects in order. The caller holds d.mutex.
func (d *driver) carryOut(effects []Effect) {
	for i := 0; i < len(effects); i++ {
		switch e := effects[i].(type) {
		case *Write:
			i += d.writeCoalesced(e, effects[i+1:])
		case *Dial:
			d.dial(e.Conn, e.ForClient, e.Address)
		case *Close:
			d.closeOrReset(e.Conn, gracefully)
		case *Reset:
			d.closeOrReset(e.Conn, byReset)
		case *PauseAccept:
			d.setAcceptPaused(true)
		case *ResumeAccept:
			d.setAcceptPaused(false)
		case *ReplicationRequest:
			d.fleet.Replicate(*e)
		case *StartWatch:
			d.discovery.stopAllBut(e.Keep)
			d.discovery.start(e.Address, e.Watch, e.After)
		case *StopWatch:
			d.discovery.stopAllBut(e.Keep)
		case *SendHandoff, *SendEndpoints, *TransferSession, *SessionDetached, *SessionAccepted:
			d.carryOutSiblingEffect(e)
		default:
			d.carryOutProcessEffect(e)
		}
	}
}

// writeCoalesced writes the chunks of a Write together with those of the Writes to the same connection that directly
// follow it, and returns how many of these there are.
func (d *driver) writeCoalesced(first *Write, following []Effect) int {
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

// setAcceptPaused pauses or resumes the accept loop.
func (d *driver) setAcceptPaused(pause bool) {
	d.accept.paused = pause
	d.accept.changed.Broadcast()
	if d.accept.ending {
		return // the deadline is now the one that closeListener and acceptBacklog set
	}
	if pause { // a deadline in the past also interrupts an Accept that is already waiting
		d.listener.SetDeadline(time.Unix(1, 0))
	} else {
		d.listener.SetDeadline(time.Time{})
	}
}

// carryOutProcessEffect carries out an effect on this process as a whole.
func (d *driver) carryOutProcessEffect(effect Effect) {
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

// carryOutSiblingEffect carries out an effect that concerns the other process of this relay.
func (d *driver) carryOutSiblingEffect(effect Effect) {
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
		d.addReceived(e)
	}
}
