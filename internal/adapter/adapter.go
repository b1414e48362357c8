// Package adapter connects the balancer to the external simulator. It answers the batches of package wire on behalf of
// many relays, here called instances as in the protocol, and keeps their sessions and timers. All decisions are the
// balancer's.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"valeshift/internal/wire"
)

// host runs all instances of this process.
type host struct {
	reader       *wire.Reader
	writer       *wire.Writer
	instances    map[uint16]*instance   // instances by number
	touched      []*instance            // instances that had an event in this batch, in the order of their first one
	onBehalfOf   int                    // number of the instance that the reply last named; -1: none yet
	pages        [wire.PageCount][]byte // entries of the endpoint list, encoded, by page
	reportBuffer []float64              // buffer that load reports are read into
	now          float64                // time of the batch, in milliseconds
}

// Run answers one batch after the other until the input ends. It returns an error if the input violates the protocol,
// or can't be read, or if a reply can't be written.
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

// handleBatch handles all records of a batch, then advances every instance that had an event.
func (h *host) handleBatch() error {
	h.now = h.reader.Clock
	h.onBehalfOf = -1
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

// handleRecord handles one record and returns the instance that the next records are for.
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

// instance returns the instance with that number, and creates it if there is none.
func (h *host) instance(number uint16) *instance {
	i := h.instances[number]
	if i == nil {
		i = &instance{number: number, host: h}
		h.instances[number] = i
	}
	return i
}

// handleRows stores a page of endpoint list entries, which later updates refer to by its number.
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

// checkPage returns an error if the page number, which was read at that offset, is out of range.
func checkPage(page uint32, offset int) error {
	if page >= wire.PageCount {
		return fmt.Errorf("offset %d: a page number under %d expected, got %d", offset, wire.PageCount, page)
	}
	return nil
}
