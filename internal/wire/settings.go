package wire

import "strings"

// ParseSettings parses an instance's settings, which are lines of path=value. It ignores lines without '='.
func ParseSettings(text string) map[string]string {
	settings := make(map[string]string, strings.Count(text, "\n")+1)
	for line := range strings.Lines(text) {
		if path, value, found := strings.Cut(strings.TrimRight(line, "\r\n"), "="); found {
			settings[strings.TrimSpace(path)] = strings.TrimSpace(value)
		}
	}
	return settings
}
