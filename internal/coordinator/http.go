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
	orderTimeout      = 2 * time.Second // for an order to be durable at a majority
	orderPollInterval = 10 * time.Millisecond
	maxOrderBytes     = 4 << 10
)

// ErrNotDurable tells that an order has no majority yet. It may come to hold all the same: the same order
// submitted again, under its ID, tells.
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

// serveOrder decodes an order and answers what has become of it: 200 with the decision, 400 malformed, 409
// rejected, 421 another coordinator leads, 503 not durable at a majority.
func (n *Node) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order failover.OperatorOrder
	body := http.MaxBytesReader(w, request.Body, maxOrderBytes)
	if err := json.NewDecoder(body).Decode(&order); err != nil || order.ID == "" {
		http.Error(w, "an order with an ID expected", http.StatusBadRequest)
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

// writeJSON answers 200 with a value. The caller of the API is gone where it can't be written.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// SubmitOrder has an operator's order decided, and returns the decision once it is durable at a majority. The
// errors are ErrNotDurable and those of consensus.Voter.Propose.
func (n *Node) SubmitOrder(ctx context.Context, order failover.OperatorOrder) (failover.Decision, error) {
	var err error
	n.update(func(now float64, core *Core) { err = core.SubmitOrder(now, order) })
	if err != nil {
		return failover.Decision{}, err
	}
	return n.awaitDecision(ctx, order.ID)
}

// awaitDecision returns the decision on an order, once it is there.
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
