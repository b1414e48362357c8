// Package adapter runs the balancer in the simulator: it answers the batches of package wire for many relays,
// here called instances as in the protocol, keeps their sessions and timers, and decides nothing.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"valeshift/internal/wire"
)

// host runs all instances of this process.
type host struct {
	reader    *wire.Reader
	writer    *wire.Writer
	instances map[uint16]*instance
	touched   []*instance            // that had an event in this batch, in order
	speaking  int                    // number of the instance that the reply's actions are of; -1: none yet
	pages     [wire.PageCount][]byte // of endpoint list entries
	report    []float64              // buffer of the latest load report
	now       float64                // the batch's clock, milliseconds
}

// Run answers batch after batch until the input ends. It returns an error where the input breaks the
// protocol.
func Run(in io.Reader, out io.Writer) error {
	h := &host{reader: wire.NewReader(in), writer: wire.NewWriter(out), instances: map[uint16]*instance{}}
	for {
		err := h.reader.ReadBatch()
		if errors.Is(err, wire.ErrEndOfInput) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		if err := h.handleBatch(); err != nil {
			return fmt.Errorf("batch %d: %w", h.reader.Number, err)
		}
		if err := h.writer.SendReply(h.reader.Number); err != nil {
			return fmt.Errorf("send reply %d: %w", h.reader.Number, err)
		}
	}
}

// handleBatch handles all records of a batch, then lets every instance that had an event do what is due.
func (h *host) handleBatch() error {
	h.now = h.reader.Clock
	h.speaking = -1
	h.touched = h.touched[:0]
	var current *instance
	for range h.reader.Records {
		var err error
		if current, err = h.handleRecord(current); err != nil {
			return err
		}
		if h.reader.Err != nil {
			return h.reader.Err
		}
	}
	if err := h.reader.CheckEnd(); err != nil {
		return err
	}
	for _, i := range h.touched {
		i.touched = false
		i.advance()
	}
	return nil
}

// handleRecord handles one record and returns the instance that the next ones are for.
func (h *host) handleRecord(current *instance) (*instance, error) {
	offset := h.reader.Offset()
	code := h.reader.EventCode()
	switch code {
	case wire.About:
		return h.instance(h.reader.Uint16()), nil
	case wire.SnapshotRows:
		return current, h.handleRows(offset)
	}
	if current == nil {
		return nil, fmt.Errorf("offset %d: an About record expected before code %d", offset, code)
	}
	if !current.touched {
		current.touched = true
		h.touched = append(h.touched, current)
	}
	return current, current.handleEvent(code, offset)
}

// instance returns the instance of that number, a new one where there is none.
func (h *host) instance(number uint16) *instance {
	i := h.instances[number]
	if i == nil {
		i = &instance{number: number, host: h}
		h.instances[number] = i
	}
	return i
}

// handleRows stores a page of endpoint list entries for the updates that refer to it.
func (h *host) handleRows(offset int) error {
	page := h.reader.Uint32()
	rows := h.reader.Elements(int(h.reader.Uint32()), wire.EndpointSize)
	if h.reader.Err != nil {
		return h.reader.Err
	}
	if err := checkPage(page, offset+2); err != nil {
		return err
	}
	h.pages[page] = append(h.pages[page][:0], rows...)
	return nil
}

// checkPage returns an error for a page number out of range, which was read at that offset.
func checkPage(page uint32, offset int) error {
	if page >= wire.PageCount {
		return fmt.Errorf("offset %d: a page number under %d expected, got %d", offset, wire.PageCount, page)
	}
	return nil
}
