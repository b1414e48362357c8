package relay

// This file is the driver's side of a hot restart: the listening socket that two processes share, what the parent
// leaves to its child, and which of them are alive. transfer.go sends sessions from the one to the other.

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"valeshift/internal/hotrestart"
)

const handoffTimeout = 800 * time.Millisecond // for the parent's handoff at the start

// openListener opens the clients' listening socket, or inherits that of the platform. Another process of this relay may
// serve on that already: the configuration then says so, and has its handoff where that can be read. The relay starts
// without it otherwise.
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

// receiveHandoff waits for what the parent process leaves, where there is one.
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

// startReceivingSessions receives sessions from parent processes, where there can be any. The function that it returns
// ends that, and waits for it.
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

// checkSiblings finds out which other processes of this relay are alive, tells the state machine what has changed, and
// passes on what they have sent. It returns the child.
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

// receiveEndpoints takes the latest endpoint list that another process has sent. Without one, or where it can't be
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

// sendRecord sends a value as JSON to the process of that number.
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
