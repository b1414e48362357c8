package audit

// maxLineDelay is the longest time that a line may take on its way, in ms.
const maxLineDelay = 1000.0

// LineSent does nothing: LineReceived checks lines by their numbers.
func (a *Auditor) LineSent(float64, string, bool, int) {}

// LineReceived is called when a client or a backend has received a numbered line.
func (a *Auditor) LineReceived(now float64, id string, toClient bool, number int, sentAt float64) {
	a.Lines++
	s := a.sessions[id]
	if s == nil {
		return
	}
	last := &s.lastLines[0]
	if toClient {
		last = &s.lastLines[1]
	}
	expected := *last + 1
	switch {
	case number > expected:
		a.report(LineDelivery, now, id, "%d lines lost before number %d (to client %t)", number-expected, number, toClient)
	case number < expected:
		a.report(LineDelivery, now, id, "line %d came again (to client %t)", number, toClient)
	case now > sentAt+maxLineDelay+grace+a.slack && !s.wasUnreachable && !s.wasFrozen:
		a.report(LineDelivery, now, id, "line %d held for %.0f ms (to client %t)", number, now-sentAt, toClient)
	}
	*last = max(*last, number)
}
