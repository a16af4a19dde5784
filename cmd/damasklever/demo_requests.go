package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	demoPollInterval = 50 * time.Millisecond
	demoTokens       = 24
	demoPrompt       = "Notes of the third session: pressure flaking with antler, two students without goggles"
)

// pause waits for demoPollInterval. It returns false if ctx ends before.
func (d *demo) pause(ctx context.Context) bool {
	wait := time.NewTimer(demoPollInterval)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForServers waits until all agents are registered at the control host and the entry has
// received that state.
func (d *demo) waitForServers(ctx context.Context) error {
	want := len(d.fakes.engines) + 1
	query := &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: "servers"}}}
	for {
		response, err := d.ask(ctx, query)
		if err != nil {
			return err
		}
		table := response.GetTable()
		if len(table.GetRows()) >= want && d.entryHasIndex(table.GetIndex()) {
			d.printStep("registered: %d backend servers; the entry holds index %d", want, table.GetIndex())

			return nil
		}
		if !d.pause(ctx) {
			return errors.Newf("%d of %d servers registered: %w", len(table.GetRows()), want, ctx.Err())
		}
	}
}

func (d *demo) send(ctx context.Context, path, body string, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Newf("create request: %w", err)
	}
	request.Header.Set("Damask-Caller", demoCaller)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Newf("send request: %w", err)
	}

	return response, nil
}

// sendStream sends a completion request, reads the streamed response and prints it.
func (d *demo) sendStream(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{
		"model": "summary", "prompt": demoPrompt, "max_tokens": demoTokens, "stream": true,
	})
	if err != nil {
		return errors.Newf("encode request: %w", err)
	}
	d.printStep("POST /v1/completions as %s, %d tokens, streamed", demoCaller, demoTokens)
	response, err := d.send(ctx, "/v1/completions", string(body), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	d.printStep("status %d, request %s", response.StatusCode, response.Header.Get("Damask-Request"))
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)

		return errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(reason)))
	}
	answer, ended, err := readEvents(response.Body)
	if err != nil {
		return err
	}
	d.printStep("answer: %s", answer)
	if !ended {
		return errors.New("response has no end marker")
	}
	d.printStep("end marker seen: the answer is whole")

	return nil
}

// readEvents returns the joined texts of a stream of server-sent events, and whether it had an
// end marker.
func readEvents(body io.Reader) (answer string, ended bool, err error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true, nil
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", false, errors.Newf("decode event %q: %w", data, err)
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return "", false, errors.Newf("read events: %w", err)
	}

	return text.String(), false, nil
}

// sendBooking sends the same booking twice. The second one gets the stored result of the first.
func (d *demo) sendBooking(ctx context.Context) error {
	headers := map[string]string{"Idempotency-Key": "anna-1"}
	for _, attempt := range []string{"first", "sent again"} {
		response, err := d.send(ctx, "/s/booking/kilns/7", "slot=9", headers)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return errors.Newf("read response: %w", err)
		}
		d.printStep("POST /s/booking/kilns/7 with Idempotency-Key anna-1, %s: status %d, %s, %s", attempt,
			response.StatusCode, response.Header.Get("Damask-Outcome"), strings.TrimSpace(string(body)))
		if response.StatusCode != http.StatusOK {
			return errors.Newf("booking: status %d", response.StatusCode)
		}
	}

	return nil
}

// printCounters prints the work that each engine did for the requests.
func (d *demo) printCounters(context.Context) error {
	for _, f := range d.fakes.engines {
		c := f.engine.Counters()
		d.printStep("%s: %s", f.name, fmt.Sprintf("%d prefills, %d imports, %d decodes, %d tokens, %d pieces held",
			c.Prefills, c.Imports, c.Decodes, c.Tokens, c.HeldBlocks))
	}

	return nil
}

// entryHasIndex reports whether the entry's view has reached an index and contains all servers.
func (d *demo) entryHasIndex(index uint64) bool {
	state, ok := d.router.Dump().(router.State)

	return ok && state.Index >= index && state.Servers > len(d.fakes.engines)
}
