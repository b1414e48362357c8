package settings

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"strings"

	"valeshift/balancer"
)

// Settings of the retry budget. Either all of them are set or none.
const (
	freeRetriesPath = "contract.free-resends"
	retryRatioPath  = "contract.extra-share"
	retryWindowPath = "contract.extra-window-ms"
)

const tenantQuotasPath = "family-info.tenant-quota-connections"

// BuildBalancer builds the balancer of one relay, with a random source of the given seed. The settings are read in a
// fixed order, so that the error always names the same one if several are wrong.
func (r *Reader) BuildBalancer(seed uint64) (*balancer.Balancer, error) {
	relays := max(1, r.Count("replicas-of-me"))
	classes := r.classes()
	quotas := r.tenantQuotas()
	endpoints := r.endpointSet()
	reportFields := r.ReportFields()
	maxRetryAfter := r.MaxRetryAfter()
	slowStart := r.slowStart(relays)
	poller := balancer.NewLoadPoller(r.Bool("limits.probes"), r.FloatOr("fees.probe", 0), reportFields)
	attempts := balancer.NewAttemptPolicy(classes, r.Count("limits.most-setup-tries"), maxRetryAfter, relays,
		r.retryBudget())
	sessionQuotas := balancer.NewQuotas(classes, quotas, r.FloatOr("beyond-share-gain", 1), relays)
	zone := r.Count("zone")
	if r.err != nil {
		return nil, r.err
	}
	rng := rand.New(rand.NewSource(int64(seed)))
	return balancer.New(balancer.Config{
		Endpoints:            endpoints,
		RoundRobin:           balancer.NewRoundRobin(rng),
		SlowStart:            slowStart,
		Poller:               poller,
		Attempts:             attempts,
		Quotas:               sessionQuotas,
		LocalZone:            zone,
		CrossZoneFee:         r.FloatOr("fees.cross-zone", 0),
		UsesAffinityGroups:   r.Text("family-info.groups") == "true",
		SessionsOutliveRelay: r.Text("family-info.mode") == "pass",
	}), nil
}

func (r *Reader) classes() []balancer.Class {
	count := r.Count("categories.count")
	var classes []balancer.Class
	for i := 0; i < count && r.err == nil; i++ {
		classes = append(classes, r.class(fmt.Sprintf("categories.%d.", i)))
	}
	return classes
}

func (r *Reader) class(prefix string) balancer.Class {
	class := balancer.Class{
		LatencyObjective: r.Float(prefix + "promised-time-ms"),
		PriorityWeight:   r.Float(prefix + "gain"),
		Idempotency: balancer.Idempotency(
			r.Enum(prefix+"effect", "idempotent", "deduplicated", "at_most_once")),
	}
	if class.Idempotency == balancer.IdempotentByKey {
		class.Scope = balancer.DeduplicationScope(r.Enum(prefix+"group", "all", "zone", "cell"))
		class.DeduplicationWindow = r.Float(prefix + "repeat-window-ms")
	}
	return class
}

// tenantQuotas returns the session quota of each tenant; 0 for a tenant that the list has no quota for.
func (r *Reader) tenantQuotas() []float64 {
	quotas := make([]float64, r.countOrZero("parties.count"))
	list := r.Text(tenantQuotasPath)
	if list == "" {
		return quotas
	}
	for i, text := range strings.Split(list, ",") {
		if i == len(quotas) {
			break
		}
		sessions, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(sessions) {
			r.fail(tenantQuotasPath, "numbers")
		}
		quotas[i] = sessions
	}
	return quotas
}

func (r *Reader) endpointSet() *balancer.EndpointSet {
	const subscribe = 1
	mustAsk := r.Enum("discovery", "automatic", "subscribe") == subscribe
	askWithinMillis := 0.0
	if mustAsk {
		askWithinMillis = r.Float("contract.ask-within-ms")
	}
	return balancer.NewEndpointSet(mustAsk, askWithinMillis)
}

func (r *Reader) slowStart(relays int) *balancer.SlowStart {
	return balancer.NewSlowStart(balancer.SlowStartConfig{
		InitialCapacity:  r.Float("contract.cold-from"),
		Duration:         r.Float("contract.cold-ms"),
		OverloadMultiple: r.Float("contract.tip-multiple"),
		OverloadSpan:     r.Float("contract.fall-ms"),
		Relays:           relays,
	})
}

// retryBudget returns nil if the settings have no retry budget, so that retries of all sessions together are not
// limited.
func (r *Reader) retryBudget() *balancer.RetryBudget {
	if !r.hasAny(freeRetriesPath, retryRatioPath, retryWindowPath) {
		return nil
	}
	free := r.Float(freeRetriesPath)
	ratio := r.Float(retryRatioPath)
	windowMillis := r.Float(retryWindowPath)
	if windowMillis <= 0 {
		r.fail(retryWindowPath, "a length over 0")
	}
	return balancer.NewRetryBudget(free, ratio, windowMillis)
}

func (r *Reader) hasAny(paths ...string) bool {
	for _, path := range paths {
		if _, ok := r.values[path]; ok {
			return true
		}
	}
	return false
}
