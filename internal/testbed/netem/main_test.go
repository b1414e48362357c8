package netem

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines still run after the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
