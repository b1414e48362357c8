package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// This file has what the subcommands that call a relay's admin API over HTTP share.

// maxAnswerBytes is the most that is read of an HTTP answer; the rest is cut off.
const maxAnswerBytes = 64 << 20

// errNotFound is returned when a relay answers 404: its operators' file does not enable what serves the path.
var errNotFound = errors.New("the relay does not serve this, as its operators' file does not enable it")

// runSubcommand parses a subcommand's own arguments by the grammar, and runs the command that they name. It both
// prints and returns that command's error; a parse error ends the process.
func runSubcommand(grammar any, name string, arguments []string) error {
	parser, err := kong.New(grammar, kong.Name(name), kong.UsageOnError())
	if err != nil {
		return err
	}
	command, err := parser.Parse(arguments)
	parser.FatalIfErrorf(err)
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return err
	}
	return nil
}

// newAdminClient returns a client that bounds each call by the timeout, and makes a new connection for each.
func newAdminClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// fetchJSON decodes a JSON document from a relay's admin API into a value, and returns its text as well.
func fetchJSON(client *http.Client, address, path string, into any) ([]byte, error) {
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotFound {
		return nil, errNotFound
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return text, json.Unmarshal(text, into)
}
