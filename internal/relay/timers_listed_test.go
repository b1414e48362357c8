package relay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEveryTimerIsListed checks that the architecture page says of each timer what becomes of it when the process is
// replaced or suspended, and when the configuration is reloaded: a time that a second process starts anew held silent
// connections.
func TestEveryTimerIsListed(t *testing.T) {
	assert.ElementsMatch(t, functionsThatSetTimers(t), listedFunctions(t))
}

// functionsThatSetTimers returns the names of this package's functions that call timerQueue.set.
func functionsThatSetTimers(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	names := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, declaration := range parsed.Decls {
			if function, isFunction := declaration.(*ast.FuncDecl); isFunction && setsTimer(function) {
				names[function.Name.Name] = true
			}
		}
	}
	return slices.Collect(maps.Keys(names))
}

// setsTimer reports whether the function calls m.timers.set.
func setsTimer(function *ast.FuncDecl) bool {
	found := false
	ast.Inspect(function, func(node ast.Node) bool {
		if method, isSelector := node.(*ast.SelectorExpr); isSelector && method.Sel.Name == "set" {
			queue, isField := method.X.(*ast.SelectorExpr)
			found = found || (isField && queue.Sel.Name == "timers")
		}
		return true
	})
	return found
}

// listedFunctions returns the names in the second column of the architecture page's table of timers.
func listedFunctions(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "architecture.md"))
	require.NoError(t, err)
	_, section, isThere := strings.Cut(string(page), "## Timers of the state machine\n")
	require.True(t, isThere)
	section, _, _ = strings.Cut(section, "\n## ")
	names := map[string]bool{}
	for _, row := range strings.Split(section, "\n") {
		columns := strings.Split(row, "|")
		if len(columns) != 7 || strings.HasPrefix(columns[1], " ---") { // five columns between the outer bars
			continue
		}
		for _, name := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(columns[2], -1) {
			names[name[1]] = true
		}
		for _, fate := range columns[3:6] {
			assert.NotEmpty(t, strings.TrimSpace(fate), row)
		}
	}
	return slices.Collect(maps.Keys(names))
}
