package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

const (
	orderTimeout      = 2 * time.Second       // longest wait for an order to be durable at a majority
	orderPollInterval = 10 * time.Millisecond // between two checks whether an order is decided
	maxOrderBytes     = 4 << 10               // limit of an order's HTTP body
)

// ErrNotDurable means that an order is not durable at a majority yet. It may still take effect; to find out,
// submit the same order again under the same ID.
var ErrNotDurable = errors.New("not durable at a majority")

// Handler returns the HTTP API for operators: GET /status, GET /history and POST /order.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", n.serveStatus)
	mux.HandleFunc("GET /history", n.serveHistory)
	mux.HandleFunc("POST /order", n.serveOrder)
	return mux
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	n.read(func(now float64, core *Core) { writeJSON(w, core.Status(now)) })
}

func (n *Node) serveHistory(w http.ResponseWriter, _ *http.Request) {
	n.read(func(_ float64, core *Core) { writeJSON(w, core.History()) })
}

// serveOrder submits an order and answers with its result: 200 and the decision, 400 malformed, 409 rejected,
// 421 another coordinator leads, 503 not durable at a majority, or not accepted for another reason.
func (n *Node) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order failover.OperatorOrder
	body := http.MaxBytesReader(w, request.Body, maxOrderBytes)
	if err := json.NewDecoder(body).Decode(&order); err != nil || order.ID == "" {
		http.Error(w, "the body must be an order in JSON with an ID", http.StatusBadRequest)
		return
	}
	decision, err := n.SubmitOrder(request.Context(), order)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case decision.Rejection != "":
		http.Error(w, "refused: "+decision.Rejection, http.StatusConflict)
	default:
		writeJSON(w, decision)
	}
}

// writeJSON answers 200 with a value. A write error is ignored, as it means that the client is gone.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// SubmitOrder submits an operator order, and returns the decision on it once that is durable at a majority. The
// errors are ErrNotDurable and those of consensus.Voter.Propose.
func (n *Node) SubmitOrder(ctx context.Context, order failover.OperatorOrder) (failover.Decision, error) {
	var err error
	n.update(func(now float64, core *Core) { err = core.SubmitOrder(now, order) })
	if err != nil {
		return failover.Decision{}, err
	}
	return n.awaitDecision(ctx, order.ID)
}

// awaitDecision waits for the decision on an order. Its error is ErrNotDurable.
func (n *Node) awaitDecision(ctx context.Context, orderID string) (failover.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ticker := time.NewTicker(orderPollInterval)
	defer ticker.Stop()
	for {
		var decision failover.Decision
		var isDecided bool
		n.read(func(_ float64, core *Core) { decision, isDecided = core.DecisionOnOrder(orderID) })
		if isDecided {
			return decision, nil
		}
		select {
		case <-ctx.Done():
			return failover.Decision{}, ErrNotDurable
		case <-ticker.C:
		}
	}
}
