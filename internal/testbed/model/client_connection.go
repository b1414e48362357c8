package model

import (
	"bytes"
	"fmt"
	"strconv"

	"valeshift/internal/protocol"
	"valeshift/internal/testbed/experiment"
)

// OnAccept is never called: nobody opens connections to clients.
func (w *Workload) OnAccept(uint64) {}

// OnConnect sends the request of the client whose connection is established, or a health check.
func (w *Workload) OnConnect(conn uint64) {
	if w.balancer.isHealthCheck(conn) {
		w.host.Write(conn, []byte(verbPing+"\r\n"))
		return
	}
	if c := w.conns[conn]; c != nil {
		w.sendRequest(c)
	}
}

func (w *Workload) sendRequest(c *client) {
	w.sessionCount++
	c.session = clientSession{id: strconv.FormatUint(w.sessionCount*idMultiplier, 16), firstUnanswered: 1}
	c.stage = clientWaiting
	timeout := float64(c.traffic.HardLimit)
	w.Requests++
	operation := c.key + "/" + strconv.Itoa(c.completedOperations)
	w.observer.RequestSent(w.host.Now(), c.session.id, operation, c.relay, c.traffic.Effect, timeout)
	w.host.Write(c.conn, []byte(c.request(timeout)))
	network := w.experiment.Network
	w.giveUpAfter(c, timeout+answerGrace+networkCrossings*float64(network.Delay+network.Jitter))
}

// request returns the first line that the client sends, which asks for a session.
func (c *client) request(timeout float64) string {
	request := fmt.Sprintf("%s %s %s c=%s,t=%s,d=%.0f,%s=%.3f,%s=%.0f", verbOpen, c.session.id, c.key,
		c.traffic.Class, c.traffic.Tenant, timeout, requestLoad, c.load,
		requestInterval, float64(c.traffic.LineInterval))
	if c.group != "" {
		request += ",g=" + c.group
	}
	if c.isRetry {
		request += ",r=1"
	}
	if c.isReconnect {
		request += ",again=1"
	}
	return request + "\r\n"
}

// OnClose is called when a relay has ended or refused a connection.
func (w *Workload) OnClose(conn uint64, reset bool) {
	if w.balancer.isHealthCheck(conn) {
		delete(w.balancer.healthChecks, conn)
		return
	}
	c := w.conns[conn]
	if c == nil {
		return
	}
	w.detach(c)
	now := w.host.Now()
	switch c.stage {
	case clientDialing:
		w.reportReplacementRejection(c)
		c.isRetry = true
		w.retryAfter(c, redialDelay)
	case clientWaiting:
		w.reportReplacementRejection(c)
		w.observer.ClosedByRelay(now, c.session.id, reset)
		w.Answers[answerDisconnected]++
		w.secondAt(now).Disconnected++
		c.isRetry = true
		w.retryAfter(c, redialDelay)
	case clientEstablished:
		w.observer.ClosedByRelay(now, c.session.id, reset)
		w.Established--
		w.reconnect(c)
	}
}

// reportReplacementRejection reports that a client was not let in, if its relay is being replaced and must let all
// in.
func (w *Workload) reportReplacementRejection(c *client) {
	if w.balancer.relays[c.relay].isReplacing {
		w.observer.ReplacementRejected(w.host.Now(), c.relay)
	}
}

// OnData is called with data from a relay.
func (w *Workload) OnData(conn uint64, data []byte) {
	if w.balancer.isHealthCheck(conn) {
		if bytes.HasPrefix(data, []byte(verbPong)) {
			w.balancer.checkSucceeded(conn)
		}
		return
	}
	for len(data) > 0 {
		c := w.conns[conn]
		if c == nil {
			return
		}
		line, rest, err := c.splitter.Next(data)
		if err != nil || line == nil {
			return
		}
		data = rest
		verb, arguments := protocol.CutVerb(line)
		if c.stage == clientWaiting {
			w.handleAnswer(c, string(verb), arguments)
		} else {
			w.handleLine(c, string(verb), arguments)
		}
	}
}

// handleAnswer handles the answer to a request.
func (w *Workload) handleAnswer(c *client, verb string, arguments []byte) {
	now := w.host.Now()
	w.observer.ResponseReceived(now, c.session.id, verb)
	w.Answers[verb]++
	if verb == verbUp {
		w.secondAt(now).Established++
		w.Established++
		recordMillis(w.SetupLatency[c.traffic.Class], now-c.wantedAt)
		c.stage = clientEstablished
		c.isRetry = false
		c.session.lastHeardAt = now
		c.completedOperations++
		return
	}
	delay := float64(c.traffic.RetryDelay)
	if verb == verbBusy {
		w.secondAt(now).Rejected++
		if retryAfter, err := strconv.ParseFloat(string(arguments), 64); err == nil && c.honorsRetryAfter {
			delay = retryAfter
		}
	} else {
		w.secondAt(now).Errored++
		if c.traffic.Effect != experiment.EffectReplayable {
			delay = errorDelay
		}
	}
	w.linger(c)
	c.isRetry = true
	w.retryAfter(c, delay)
}

// linger keeps reading for lingerTime after a final answer, behind which nothing may come, and then ends the
// connection. The client itself goes on without it.
func (w *Workload) linger(c *client) {
	conn := w.detach(c)
	listener := &client{traffic: c.traffic, session: clientSession{id: c.session.id}, conn: conn, stage: clientGone}
	w.conns[conn] = listener
	w.host.After(lingerTime, func() {
		if w.conns[conn] == listener {
			delete(w.conns, conn)
			w.host.Close(conn)
		}
	})
}

// handleLine handles a line that comes after the answer to a request.
func (w *Workload) handleLine(c *client, verb string, arguments []byte) {
	now := w.host.Now()
	c.session.lastHeardAt = now
	switch verb {
	case verbResponse:
		w.handleResponse(c, arguments)
	case verbLoad:
	case verbMove:
		w.observer.NoticeReceived(now, c.session.id, verb)
		if c.stage == clientEstablished {
			w.disconnect(c)
			w.reconnect(c)
		}
	default:
		w.observer.NoticeReceived(now, c.session.id, verb)
	}
}

// handleResponse handles a line of the backend and records the latency of the client's line that it answers.
func (w *Workload) handleResponse(c *client, arguments []byte) {
	now := w.host.Now()
	numberText, rest, _ := bytes.Cut(arguments, []byte(" "))
	sentAtText, answeredText, _ := bytes.Cut(rest, []byte(" "))
	number, _ := strconv.Atoi(string(numberText))
	sentAt, _ := strconv.ParseFloat(string(sentAtText), 64)
	w.observer.LineReceived(now, c.session.id, true, number, sentAt)
	answered, err := strconv.Atoi(string(answeredText))
	if err != nil {
		return
	}
	due, isUnanswered := c.session.takeUnanswered(answered)
	if !isUnanswered || c.stage == clientGone {
		return
	}
	latency := now - due
	recordMillis(w.LineLatency[c.traffic.Class], latency)
	if latency <= maxUsefulLatency {
		w.secondAt(due).Served += c.lineWeight()
	}
}

// takeUnanswered returns when the line of that number was due, whose answer has been received. Lines before it
// count as never answered.
func (s *clientSession) takeUnanswered(number int) (due float64, isUnanswered bool) {
	i := number - s.firstUnanswered
	if i < 0 || i >= len(s.unansweredDue) {
		return 0, false
	}
	due = s.unansweredDue[i]
	s.unansweredDue = s.unansweredDue[i+1:]
	s.firstUnanswered = number + 1
	return due, true
}
