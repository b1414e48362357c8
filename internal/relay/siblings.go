package relay

// This file is the driver's side of a hot restart: the listening socket that two processes share, the handoff of the
// parent to its child, and which of them are alive. transfer.go sends sessions from the parent to the child.

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"valeshift/internal/hotrestart"
)

const handoffTimeout = 800 * time.Millisecond // longest wait for the parent's handoff at the start

// openListener opens the listening socket for clients, or inherits the platform's. Another process of this relay may be
// serving on an inherited socket: the configuration then gets HasParent, and the parent's handoff. If the handoff can't
// be read, the relay starts without it.
func (d *driver) openListener(config *Config) error {
	if config.SocketFD == 0 {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		d.listener = listener.(*net.TCPListener)
		return nil
	}
	listener, err := hotrestart.InheritListener(config.SocketFD)
	if err != nil {
		return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
	}
	d.listener = listener
	slot, err := hotrestart.Acquire(config.SharedDir)
	if err != nil {
		d.log.Warn("no slot beside other processes of this relay", "err", err)
		return nil
	}
	d.slot = slot
	d.receiveHandoff(config)
	return nil
}

// receiveHandoff waits for the handoff of the parent process, if there is a parent.
func (d *driver) receiveHandoff(config *Config) {
	parent, _ := d.slot.Siblings()
	config.HasParent = parent.Number > 0
	if !config.HasParent {
		return
	}
	d.siblings.last.HasParent = true
	d.siblings.nearest = parent.Number
	record, err := d.slot.ReceiveHandoff(handoffTimeout)
	if err == nil {
		config.Handoff, err = ParseHandoff(record, d.now())
	}
	if err != nil {
		d.log.Warn("starting without the parent's state", "err", err)
	}
}

// startReceivingSessions begins to receive sessions from parent processes, if there can be any. The function that it
// returns stops that and waits for its end.
func (d *driver) startReceivingSessions() (stop func()) {
	if d.slot == nil {
		return func() {}
	}
	receiver, err := d.slot.ReceiveSessions(d.receiveSession)
	if err != nil {
		d.logSiblingError(err)
		return func() {}
	}
	return receiver.Close
}

// checkSiblings finds out which other processes of this relay are alive, tells the state machine about changes, and
// passes on the endpoint list that they have sent. It returns the child process.
func (d *driver) checkSiblings() (child hotrestart.Process) {
	parent, child := d.slot.Siblings()
	isNewChild := child.Number > 0 && !child.Ready && child.Number != d.siblings.handoffChild
	current := SiblingProcessesChanged{HasParent: parent.Number > 0, HasChild: child.Number > 0,
		WantsHandoff: isNewChild}
	d.mutex.Lock()
	if isNewChild || current.HasParent != d.siblings.last.HasParent || current.HasChild != d.siblings.last.HasChild {
		d.siblings.handoffChild = child.Number
		d.siblings.last = current
		d.handleLocked(current)
	}
	d.siblings.nearest = max(parent.Number, child.Number)
	d.mutex.Unlock()
	if d.siblings.nearest > 0 {
		d.receiveEndpoints()
	}
	return child
}

// receiveEndpoints passes on the latest endpoint list that another process has sent. If there is none, or it can't be
// read, nothing changes.
func (d *driver) receiveEndpoints() {
	record, err := d.slot.ReceiveMessage()
	if err != nil {
		return
	}
	var update *EndpointUpdate
	if json.Unmarshal(record, &update) == nil && update != nil {
		d.handle(SiblingEndpointsUpdated{Update: update})
	}
}

// sendRecord sends a value as JSON to the process with the given slot number.
func (d *driver) sendRecord(send func(number int, record []byte) error, number int, value any) {
	record, err := json.Marshal(value)
	if err == nil {
		err = send(number, record)
	}
	d.logSiblingError(err)
}

func (d *driver) logSiblingError(err error) {
	if err != nil {
		d.log.Warn("can't reach the other process of this relay", "err", err)
	}
}
