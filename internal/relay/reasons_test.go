package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/balancer"
)

func TestOutcomesOfEndReasons(t *testing.T) {
	want := map[EndReason]balancer.AttemptOutcome{
		NotSent:            balancer.OutcomeNotSent,
		ConnectFailed:      balancer.OutcomeUnreachable,
		BackendBusy:        balancer.OutcomeRejected,
		BackendError:       balancer.OutcomeFailed,
		MalformedAnswer:    balancer.OutcomeFailed,
		ClosedBeforeAnswer: balancer.OutcomeConnectionLost,
		AttemptTimedOut:    balancer.OutcomeTimedOut,
		BackendFinished:    balancer.OutcomeSucceeded,
		BackendMovedClient: balancer.OutcomeCanceled,
		BackendClosed:      balancer.OutcomeConnectionLost,
		BackendSilent:      balancer.OutcomeConnectionLost,
		SlowReader:         balancer.OutcomeCanceled,
		RelayMovedClient:   balancer.OutcomeCanceled,
		ClientClosed:       balancer.OutcomeSucceeded,
		ClientReset:        balancer.OutcomeCanceled,
		TransferredToChild: balancer.OutcomeCanceled,
	}
	assert.Len(t, want, len(endReasonNames))
	for reason, outcome := range want {
		assert.Equal(t, outcome, reason.outcome(), reason.String())
	}
}
