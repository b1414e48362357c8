package fleet

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/internal/membership"
	"valeshift/internal/relay"
)

// TestMarkerCarriesTheFirstAttempt: the marker of a repeat tells when the request may first have been executed, by the
// fleet's clock, and not when the repeat began.
func TestMarkerCarriesTheFirstAttempt(t *testing.T) {
	core := newCoreWithMembers(0, func(int, *membership.View) {})
	core.EnableReplication("own", 1, 1, hour, false, []byte("key"), rand.New(rand.NewSource(1)))
	core.fleetClockOffset = 7
	record := core.newRecord(now, relay.ReplicationRequest{Record: relay.AttemptRecord, Key: 1, At: now + 1000, Backend: "b1",
		ExecutedAt: now - 400})
	assert.Equal(t, now-400+7, record.ValidFrom)
	assert.Equal(t, uint64(now+7), record.Version, "the latest attempt's marker is the one that is found")
}
