package cost

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	failedSetupPause = time.Millisecond       // of a client after a failed set-up
	lineTimeout      = 10 * time.Second       // for a line to come back
	settleTime       = 500 * time.Millisecond // from the last set-up until the memory of sessions is read
)

var testLine = []byte("M 1 0123456789 0123456789 0123456789\r\n")

// runSetups has each client open and reset one session after another for the plan's duration. It returns how many
// set-ups succeeded and failed.
func (p *path) runSetups(ctx context.Context, plan Plan) (succeeded, failed int) {
	var clients sync.WaitGroup
	var successes, failures atomic.Int64
	end := time.Now().Add(plan.Duration)
	for range plan.Clients {
		clients.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				if p.openAndReset() != nil {
					failures.Add(1)
					time.Sleep(failedSetupPause)
					continue
				}
				successes.Add(1)
			}
		})
	}
	clients.Wait()
	return int(successes.Load()), int(failures.Load())
}

func (p *path) openAndReset() error {
	conn, _, err := p.open()
	if err != nil {
		return err
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	return nil
}

// runLines has each active session send lines at set times, and records how long each takes to come back.
func (p *path) runLines(ctx context.Context, plan Plan, lineMicros *hdrhistogram.Histogram) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	var mutex sync.Mutex // guards failures and lineMicros
	var failures error
	end := time.Now().Add(plan.Duration)
	for i := range plan.ActiveSessions {
		conn, in, err := p.open()
		if err != nil {
			return err
		}
		offset := plan.LineInterval * time.Duration(i) / time.Duration(plan.ActiveSessions)
		sessions.Go(func() {
			defer conn.Close()
			own, err := sendLines(ctx, conn, in, time.Now().Add(offset), end, plan.LineInterval)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failures = errors.Join(failures, err)
				return
			}
			lineMicros.Merge(own)
		})
	}
	sessions.Wait()
	return failures
}

// sendLines sends a line once per interval, waits for it to come back, and records the time from the sending. By how
// much the testbed's timer is late is left out, since that is the same for all paths.
func sendLines(ctx context.Context, conn net.Conn, in *bufio.Reader, start, end time.Time,
	interval time.Duration) (*hdrhistogram.Histogram, error) {
	lineMicros := newLineHistogram()
	for due := start; due.Before(end) && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		conn.SetDeadline(time.Now().Add(lineTimeout))
		sent := time.Now()
		if _, err := conn.Write(testLine); err != nil {
			return nil, fmt.Errorf("send line: %w", err)
		}
		if _, err := in.ReadSlice('\n'); err != nil {
			return nil, fmt.Errorf("await line: %w", err)
		}
		lineMicros.RecordValue(max(time.Since(sent).Microseconds(), minLineMicros))
	}
	return lineMicros, nil
}

// measureMemory returns by how many bytes per established session the memory of the path's process grows. It opens the
// given number of sessions, or fewer if one fails, such as for want of file descriptors, and returns that number too.
func (p *path) measureMemory(sessions int) (bytesPerSession float64, established int, err error) {
	_, before := p.usage()
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	for range sessions {
		conn, _, err := p.open()
		if err != nil && len(open) == 0 {
			return 0, 0, err
		}
		if err != nil {
			break
		}
		open = append(open, conn)
	}
	time.Sleep(settleTime)
	_, after := p.usage()
	return (after - before) / float64(len(open)), len(open), nil
}
