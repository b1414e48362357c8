package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Flatten puts nested JSON under the paths that the wire's pairs use: a list of records has its length under
// "count" and each record under its number; a list of plain values is joined by commas.
func Flatten(nested []byte) (map[string]string, error) {
	in := json.NewDecoder(bytes.NewReader(nested))
	in.UseNumber() // against large numbers losing digits on their way through a float
	var tree map[string]any
	if err := in.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: an object expected: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return values, nil
}

func flatten(values map[string]string, path string, node any) {
	switch v := node.(type) {
	case map[string]any:
		for name, below := range v {
			if path != "" {
				name = path + "." + name
			}
			flatten(values, name, below)
		}
	case []any:
		var plain []string
		for i, below := range v {
			if _, nested := below.(map[string]any); nested {
				flatten(values, fmt.Sprintf("%s.%d", path, i), below)
			} else {
				plain = append(plain, plainText(below))
			}
		}
		if len(plain) < len(v) {
			values[path+".count"] = strconv.Itoa(len(v))
		} else {
			values[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[path] = plainText(v)
	}
}

func plainText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
