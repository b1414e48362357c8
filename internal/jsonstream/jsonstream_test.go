package jsonstream

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// readAll returns the objects and blank lines of the stream, with "" for a blank line.
func readAll(r io.Reader) (all []string, err error) {
	s := NewScanner(r)
	for s.Scan() {
		all = append(all, string(s.Object()))
	}
	return all, s.Err()
}

func TestScanner(t *testing.T) {
	long := `{"a":"` + strings.Repeat("x", 3*initialBufferBytes) + `"}`
	for _, tt := range []struct {
		name, text string
		want       []string
		err        error
	}{
		{"nothing", "", nil, nil},
		{"one a line", "{\"a\":1}\n{\"b\":2}\n", []string{`{"a":1}`, `{"b":2}`}, nil},
		{"blank lines between", "\n{}\n\n\r\n{}\n", []string{"", "{}", "", "", "{}"}, nil},
		{"several on a line", `{"a":1} {"b":2}` + "\n\n", []string{`{"a":1}`, `{"b":2}`, ""}, nil},
		{"indented", "  {\n  \"a\": [\n    {\"b\": 1}\n  ]\n}\n\n",
			[]string{"{\n  \"a\": [\n    {\"b\": 1}\n  ]\n}", ""}, nil},
		{"brackets and quotes in a string", `{"a":"}]\"{"}`, []string{`{"a":"}]\"{"}`}, nil},
		{"no newline at the end", "{}", []string{"{}"}, nil},
		{"longer than the first buffer", long + "\n{}", []string{long, "{}"}, nil},
		{"cut off within an object", "{}\n{\"a\":", []string{"{}"}, io.ErrUnexpectedEOF},
		{"no object", "{}\nnull\n", []string{"{}"}, ErrNotObject},
		{"a stray bracket", "]", nil, ErrNotObject},
		{"brackets that do not match", "{}\n{\"a\":[{]}\n", []string{"{}"}, ErrNesting},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for reading, r := range map[string]io.Reader{"at once": strings.NewReader(tt.text),
				"byte by byte": iotest.OneByteReader(strings.NewReader(tt.text))} {
				all, err := readAll(r)
				assert.Equal(t, tt.want, all, reading)
				assert.ErrorIs(t, err, tt.err, reading)
			}
		})
	}
}

// A blank line is returned as soon as it has arrived, as a watch uses blank lines to show that it is alive.
func TestBlankLineIsNotHeldBack(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	go w.Write([]byte("{}\n\n"))
	s := NewScanner(r)
	assert.True(t, s.Scan())
	assert.Equal(t, "{}", string(s.Object()))
	assert.True(t, s.Scan())
	assert.Empty(t, s.Object())
}

func FuzzScanner(f *testing.F) {
	f.Add([]byte("{\"a\":[{}]}\n\n{}"), []byte(`{"index":1}`))
	f.Add([]byte(`{"a":"\"}"}`), []byte("{\n}"))
	f.Fuzz(func(t *testing.T, text, object []byte) {
		whole, wholeErr := readAll(bytes.NewReader(text))
		pieces, piecesErr := readAll(iotest.OneByteReader(bytes.NewReader(text)))
		assert.Equal(t, whole, pieces, "the result must not depend on how the bytes are split into reads")
		assert.Equal(t, wholeErr, piecesErr)
		object = bytes.TrimSpace(object)
		if !json.Valid(object) || !bytes.HasPrefix(object, []byte("{")) {
			return
		}
		all, err := readAll(bytes.NewReader(object))
		assert.NoError(t, err)
		assert.Equal(t, []string{string(object)}, all, "a valid object must be returned unchanged")
	})
}
