package fleet

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
