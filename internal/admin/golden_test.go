package admin

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Programs read the responses, so status, content type and body must match testdata/golden/answers.txt byte
// for byte.
func TestGoldenAnswers(t *testing.T) {
	s, address := serve(t)
	s.ready.Store(true)
	var got strings.Builder
	for _, line := range []string{"GET /_ready", "GET /_vars", "GET /_fleet", "GET /_holdings?part=5",
		"GET /_holdings?part=0", "POST /_lameduck/on", "GET /_fleet", "POST /_lameduck/off", "GET /_lameduck/on"} {
		method, path, _ := strings.Cut(line, " ")
		request, err := http.NewRequest(method, "http://"+address+path, nil)
		require.NoError(t, err)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		require.NoError(t, err)
		fmt.Fprintf(&got, "%s\n%d %s\n%s\n", line, answer.StatusCode, answer.Header.Get("Content-Type"), body)
	}
	want, err := os.ReadFile("testdata/golden/answers.txt")
	require.NoError(t, err)
	assert.Equal(t, string(want), got.String())
}
