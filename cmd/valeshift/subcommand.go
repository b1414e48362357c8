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

// This file is what the subcommands that call relays over HTTP share.

// maxAnswerBytes is what is read of an answer.
const maxAnswerBytes = 64 << 20

// errNotFound tells that a relay has nothing at the path that was asked for.
var errNotFound = errors.New("the relay keeps nothing of that kind, as its operators' file does not name it")

// runSubcommand parses a subcommand's own arguments into the grammar, and runs what they say. An error is printed
// as well.
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

// newAdminClient returns a client whose calls have that long, each on a connection of its own.
func newAdminClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// fetchJSON reads a JSON document from a relay's admin address. It returns the text too.
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
