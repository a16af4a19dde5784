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
	demoPause  = 50 * time.Millisecond
	demoTokens = 24
	demoPrompt = "Notes of the third session: pressure flaking with antler, two students without goggles"
)

// pause waits a moment between two tries and returns false if ctx ended.
func (d *demo) pause(ctx context.Context) bool {
	moment := time.NewTimer(demoPause)
	defer moment.Stop()
	select {
	case <-moment.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitServers waits until control knows all agents and the entry has a view.
func (d *demo) awaitServers(ctx context.Context) error {
	want := len(d.fakes.engines) + 1
	query := &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: "servers"}}}
	for {
		response, err := d.ask(ctx, query)
		if err != nil {
			return err
		}
		table := response.GetTable()
		if len(table.GetRows()) >= want && d.holds(table.GetIndex()) {
			d.step("registered: %d backend servers; the entry holds index %d", want, table.GetIndex())

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
		return nil, errors.Newf("make request: %w", err)
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

// stream sends a completion and prints the answer as it arrives.
func (d *demo) stream(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{
		"model": "summary", "prompt": demoPrompt, "max_tokens": demoTokens, "stream": true,
	})
	if err != nil {
		return errors.Newf("encode request: %w", err)
	}
	d.step("POST /v1/completions as %s, %d tokens, streamed", demoCaller, demoTokens)
	response, err := d.send(ctx, "/v1/completions", string(body), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	d.step("status %d, request %s", response.StatusCode, response.Header.Get("Damask-Request"))
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)

		return errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(reason)))
	}
	answer, ended, err := readEvents(response.Body)
	if err != nil {
		return err
	}
	d.step("answer: %s", answer)
	if !ended {
		return errors.New("the answer has no end marker")
	}
	d.step("end marker seen: the answer is whole")

	return nil
}

// readEvents joins the texts of a server-sent event stream.
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

// book sends the same booking twice; the second is answered from the claim.
func (d *demo) book(ctx context.Context) error {
	headers := map[string]string{"Idempotency-Key": "anna-1"}
	for _, turn := range []string{"first", "sent again"} {
		response, err := d.send(ctx, "/s/booking/kilns/7", "slot=9", headers)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return errors.Newf("read answer: %w", err)
		}
		d.step("POST /s/booking/kilns/7 with Idempotency-Key anna-1, %s: status %d, %s, %s", turn,
			response.StatusCode, response.Header.Get("Damask-Outcome"), strings.TrimSpace(string(body)))
		if response.StatusCode != http.StatusOK {
			return errors.Newf("booking got status %d", response.StatusCode)
		}
	}

	return nil
}

// count prints what the backend servers did for the two requests.
func (d *demo) count(context.Context) error {
	for _, f := range d.fakes.engines {
		c := f.engine.Counters()
		d.step("%s: %s", f.name, fmt.Sprintf("%d prefills, %d imports, %d decodes, %d tokens, %d pieces held",
			c.Prefills, c.Imports, c.Decodes, c.Tokens, c.Held))
	}

	return nil
}

// holds reports whether the entry's view has reached an index.
func (d *demo) holds(index uint64) bool {
	state, ok := d.router.Dump().(router.State)

	return ok && state.Index >= index && state.Servers > len(d.fakes.engines)
}
