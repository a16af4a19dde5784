package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/requester"
)

// CrashLedger is the record of requests that crash servers. All gateways share it.
type CrashLedger interface {
	// Blocked returns the time until which a request, or a segment of prompts, is blocked;
	// zero if it is not.
	Blocked(now time.Time, digest string) time.Time
	// Suspected reports whether a segment is suspected of crashing servers.
	Suspected(segment string) bool
	// Blame reports the requests that were running at a server when it crashed, and the
	// shared segments of their prompts. Those named in sound cannot have caused the crash.
	Blame(ctx context.Context, server string, digests []string, prefixes [][]string, sound []string) error
	// Clear reports that a request with these segments was answered well.
	Clear(ctx context.Context, segments []string) error
}

// noCrashLedger keeps no record.
type noCrashLedger struct{}

// Blocked implements CrashLedger.
func (noCrashLedger) Blocked(time.Time, string) time.Time { return time.Time{} }

// Suspected implements CrashLedger.
func (noCrashLedger) Suspected(string) bool { return false }

// Blame implements CrashLedger.
func (noCrashLedger) Blame(context.Context, string, []string, [][]string, []string) error { return nil }

// Clear implements CrashLedger.
func (noCrashLedger) Clear(context.Context, []string) error { return nil }

const (
	// crashPollInterval is the interval at which servers in doubt are looked for.
	crashPollInterval = 50 * time.Millisecond
	// statusTimeout limits a status request. It allows for two round trips between regions
	// and a busy server.
	statusTimeout = 500 * time.Millisecond
	// maxSuspects limits the requests that are reported for one crash to about as many as
	// run on a server, because the control hosts keep them for thousands of crashes.
	maxSuspects = 64
	// reportTimeout limits the report of a crash. A control group that has lost its leader
	// elects another one in less time.
	reportTimeout = 30 * time.Second
)

// errBlocked is returned for a request that is not sent because it, or others with a segment
// of its prompt, have crashed servers.
var errBlocked = errors.Mark(errors.New("the request has crashed servers"), requester.ErrNotSent)

// blocked returns for how long the request is blocked, 0 if it may be sent.
func (f *forwarder) blocked() time.Duration {
	now := f.g.s.Timer.Now()
	left := time.Duration(0)
	for _, digest := range append([]string{f.digest}, f.segments...) {
		if until := f.g.s.CrashLedger.Blocked(now, digest); !until.IsZero() {
			left = max(left, until.Sub(now))
		}
	}

	return left
}

// errInvalidStatus marks the error of a status that a server sent and that cannot be parsed.
var errInvalidStatus = errors.New("the status is invalid")

// crashReporter finds out which servers have crashed, and reports the requests that may have
// caused it.
type crashReporter struct {
	g               *Gateway
	tracker         *correlator.Tracker
	recentSuccesses *correlator.RecentSuccesses
	endChecker      *endChecker
	stopTimer       func()

	mu       sync.Mutex
	closed   bool
	clearing map[string]bool // segments that are being cleared
}

func newCrashReporter(g *Gateway) (*crashReporter, error) {
	recentSuccesses, err := correlator.NewRecentSuccesses()
	if err != nil {
		return nil, errors.Newf("crash reporter: %w", err)
	}

	c := &crashReporter{
		g: g, tracker: correlator.NewTracker(), recentSuccesses: recentSuccesses, stopTimer: func() {},
		clearing: make(map[string]bool),
	}
	c.endChecker = newEndChecker(c)

	return c, nil
}

func (c *crashReporter) start() {
	c.stopTimer = c.g.s.Timer.Every(crashPollInterval, c.checkServers)
}

// close stops starting checks.
func (c *crashReporter) close() {
	c.stopTimer()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// checkServers starts to check the servers in doubt.
func (c *crashReporter) checkServers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for _, s := range c.tracker.Due(now) {
		c.g.tasks.Add(1)
		go func() {
			defer c.g.tasks.Done()
			c.checkServer(c.g.ctx, s)
		}()
	}
}

// checkServer finds out whether a server has crashed, and reports the requests that were
// there.
func (c *crashReporter) checkServer(ctx context.Context, s correlator.Server) {
	state, status, err := c.requestStatus(ctx, s)
	if ctx.Err() != nil {
		return
	}
	now := c.g.s.Timer.Now()
	lost := c.tracker.Resolve(now, s.ID, state, status.StartedAt)
	if len(lost) == 0 {
		c.g.s.Log.Info().Str("server", s.ID).Str("addr", s.Addr).Bool("silent", state == correlator.Silent).Err(err).Msg("server checked")

		return
	}
	digests, ids := make([]string, 0, len(lost)), make([]string, 0, len(lost))
	var prefixes [][]string
	for _, l := range lost {
		digests, ids = append(digests, l.Digest), append(ids, l.ID)
		if len(l.Segments) > 0 && len(prefixes) < maxSuspects {
			prefixes = append(prefixes, l.Segments)
		}
	}
	sound := c.recentSuccesses.SoundSegments(now, lost)
	suspects := c.recentSuccesses.Suspects(now, lost)
	suspects = suspects[:min(len(suspects), maxSuspects)]
	c.g.s.Log.Warn().Str("server", s.ID).Str("addr", s.Addr).Strs("digests", digests).Strs("ids", ids).Strs("suspects", suspects).
		Interface("prefixes", prefixes).Strs("sound", sound).Bool("replaced", status.Replaced).Bool("silent", state == correlator.Silent).Err(err).Msg("server crashed while running requests")
	if len(suspects) == 0 && len(prefixes) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := c.g.s.CrashLedger.Blame(bounded, s.ID, suspects, prefixes, sound); err != nil {
		c.g.s.Log.Warn().Str("server", s.ID).Strs("suspects", suspects).Err(err).Msg("failed to report crash")
	}
}

// noteAnswered records that a server has answered a request well, with the given segments of
// its prompt. Segments that are suspected of crashing servers are cleared for all gateways.
func (c *crashReporter) noteAnswered(digest string, segments []string) {
	c.recentSuccesses.RecordSuccess(c.g.s.Timer.Now(), digest, segments)
	var suspected []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range segments {
		if !c.clearing[s] && c.g.s.CrashLedger.Suspected(s) {
			suspected = append(suspected, s)
			c.clearing[s] = true
		}
	}
	if len(suspected) == 0 || c.closed {
		return
	}
	c.g.tasks.Add(1)
	go func() {
		defer c.g.tasks.Done()
		c.clearSegments(c.g.ctx, suspected)
	}()
}

func (c *crashReporter) clearSegments(ctx context.Context, segments []string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := c.g.s.CrashLedger.Clear(ctx, segments)
	c.g.s.Log.Info().Strs("segments", segments).Err(err).Msg("segments cleared")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range segments {
		delete(c.clearing, s)
	}
}

// requestStatus asks a server for its status. An error is what the state was concluded from.
func (c *crashReporter) requestStatus(ctx context.Context, s correlator.Server) (correlator.State, ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r := c.g.s.Dialect.StatusRequest(s.ID, s.Addr)
	r.NewConn = true
	c.g.s.Throttler.Charge(c.g.s.Timer.Now(), s.ID, 1)
	response, err := c.g.s.Requester.Do(ctx, s.Addr, r)
	if err != nil {
		return stateOf(err), ServerStatus{}, errors.Newf("request status of %s: %w", s.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	notice := c.g.s.Dialect.Notice(response.Status, response.Header)
	if notice.Fault != nil {
		c.g.s.Log.Warn().Str("server", s.ID).Err(notice.Fault).Msg("invalid server notice")
	}
	c.g.observeLimit(s.ID, notice.Limit, time.Time{})
	held := c.g.s.Budget.Open(func(error) {})
	defer held.Close()
	_ = held.Complete() // nothing has dropped it yet
	body, readErr := readBody(held, response)
	status, err := c.g.s.Dialect.ParseStatus(response.Status, body)
	switch {
	case status.Replaced:
		return correlator.Gone, status, nil
	case readErr != nil:
		// The head shows that the server runs, whatever has ended its body.
		return correlator.Running, ServerStatus{}, errors.Newf("read status of %s: %w", s.ID, readErr)
	case err != nil:
		err = errors.Mark(errors.Newf("parse status of %s: %w", s.ID, err), errInvalidStatus)
	}

	return correlator.Running, status, err
}

// stateOf returns what the error of a status request says about its server. A server that
// accepts connections and breaks them still runs.
func stateOf(err error) correlator.State {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return correlator.Gone
	case errors.Is(err, requester.ErrNotSent), errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return correlator.Silent
	default:
		return correlator.Running
	}
}

// trackedBody reports the end of a response to the crash reporter. It is where the end of
// every answer is judged.
type trackedBody struct {
	io.ReadCloser
	c      *crashReporter
	ctx    context.Context //nolint:containedctx // of the request
	send   *correlator.Send
	server correlator.Server
	sentAt time.Time
	// framed is false if the end of the connection is the end of the body, as it also is if
	// the server crashes.
	framed bool
	// end is the result of the last read once the body has ended.
	end error
}

// Read implements io.Reader. It returns io.EOF only for a body that is whole.
func (b *trackedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil || n > 0 && isEOF(err) {
		// The last bytes do not wait for the check of the server.
		b.send.Heard(b.c.g.s.Timer.Now())

		return n, nil
	}
	b.end = b.judge(err)

	return n, b.end
}

// judge returns the error with which the body ends, io.EOF if it is whole.
func (b *trackedBody) judge(err error) error {
	ended := b.c.g.s.Timer.Now()
	if !isEOF(err) {
		b.c.noteFailure(b.ctx, b.send, err)

		return err
	}
	if !b.framed {
		if err := b.c.endChecker.confirm(b.ctx, b.server, b.sentAt); err != nil {
			b.c.noteFailure(b.ctx, b.send, err)

			return err
		}
	}
	b.c.tracker.Answered(ended, b.send)

	return err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.c.tracker.Abandon(b.c.g.s.Timer.Now(), b.send)

	return b.ReadCloser.Close() //nolint:wrapcheck // passes the error on
}

// noteFailure records a send with the context ctx that ended with an error.
func (c *crashReporter) noteFailure(ctx context.Context, send *correlator.Send, err error) {
	now := c.g.s.Timer.Now()
	switch {
	case errors.Is(err, requester.ErrNotSent):
		c.tracker.Discard(send)
	case endedByContext(ctx, err):
		c.tracker.Abandon(now, send)
	default:
		c.tracker.Break(now, send)
	}
}
