package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Flatten converts nested JSON to values by path, with the same paths as settings sent as pairs. A list of objects has
// its length under "count" and each object under its index; a list of plain values is joined by commas.
func Flatten(nested []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(nested))
	decoder.UseNumber() // a float would lose digits of large numbers
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: an object expected: %w", err)
	}
	values := map[string]string{}
	flattenObject(values, "", tree)
	return values, nil
}

func flattenNode(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case nil:
	case map[string]any:
		flattenObject(values, path, node)
	case []any:
		flattenList(values, path, node)
	default:
		values[path] = plainText(node)
	}
}

func flattenObject(values map[string]string, path string, object map[string]any) {
	for name, node := range object {
		if path != "" {
			name = path + "." + name
		}
		flattenNode(values, name, node)
	}
}

func flattenList(values map[string]string, path string, list []any) {
	var plain []string
	for i, node := range list {
		if record, ok := node.(map[string]any); ok {
			flattenObject(values, fmt.Sprintf("%s.%d", path, i), record)
		} else {
			plain = append(plain, plainText(node))
		}
	}
	if len(plain) < len(list) {
		values[path+".count"] = strconv.Itoa(len(list))
		return
	}
	values[path] = strings.Join(plain, ",")
}

func plainText(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}
