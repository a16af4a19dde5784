// Package grantclient is the client of the lenders, the agents beside backend servers that
// grant the servers' memory. An entry process uses it to keep a session with each lender
// and to know its latest load. It asks several lenders at once on behalf of a request and
// uses the first grant.
package grantclient

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Settings configures a Borrower. Name and Timer are required.
type Settings struct {
	// Name must be unique to this run of the entry process.
	Name  string
	Timer timer.Service
	Log   *log.Logger
	// Renew is the interval between lease renewals to a lender.
	Renew time.Duration
	// SilenceTimeout is how long a lender may send nothing before its session is closed.
	SilenceTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between connection attempts.
	MinBackoff, MaxBackoff time.Duration
	// AbsentBackoff is the maximum time between connection attempts to a lender that has
	// never answered: most likely there is no agent beside that server.
	AbsentBackoff time.Duration
}

const (
	// defaultRenew and defaultSilenceTimeout tolerate two lost messages within the
	// lender's lease and within its interval of load messages.
	defaultRenew          = 600 * time.Millisecond
	defaultSilenceTimeout = 1500 * time.Millisecond
	defaultMinBackoff     = 200 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	defaultAbsentBackoff  = 15 * time.Second
)

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.Renew, defaultRenew},
		{&s.SilenceTimeout, defaultSilenceTimeout},
		{&s.MinBackoff, defaultMinBackoff},
		{&s.MaxBackoff, defaultMaxBackoff},
		{&s.AbsentBackoff, defaultAbsentBackoff},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate checks that the required fields are set and the durations are consistent.
func (s *Settings) Validate() error {
	if s.Name == "" || s.Timer == nil {
		return errors.New("borrower settings: Name and Timer are required")
	}
	if s.Renew < 0 || s.SilenceTimeout <= s.Renew || s.MinBackoff < 0 || s.MaxBackoff < s.MinBackoff || s.AbsentBackoff < s.MaxBackoff {
		return errors.New("borrower settings: SilenceTimeout must be longer than Renew, AbsentBackoff at least MaxBackoff, MaxBackoff at least MinBackoff, and no duration negative")
	}

	return nil
}

// Load is the load that a lender last reported for its server.
type Load struct {
	// Total and Free are counted in tokens for a decode server and in prompts for a
	// prefill server.
	Total, Free int
	Queued      int // number of queued asks
	// Waits are the expected queueing times by priority class.
	Waits   []time.Duration
	Leaving bool
	Age     time.Duration // since the last message of the lender
}

// Ask is a request for a grant at one server.
type Ask struct {
	ID      string // of the request
	Phase   wire.Phase
	Rank    int           // priority class, 0 is the most urgent
	Due     time.Duration // time from now after which the grant is useless
	Tokens  int           // memory needed
	Cost    time.Duration // expected processing time on the server
	Service string
	Caller  string
}

// Client keeps the sessions with the lenders. It is safe for concurrent use.
type Client struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // lifetime of the borrower
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	lastID atomic.Uint64 // sequence number of the last ask

	mu    sync.Mutex
	links map[string]*link // by server ID
}

// New returns a borrower without sessions. SetLenders starts them.
func New(s Settings) (*Client, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Client{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), links: make(map[string]*link)}, nil
}

// Close ends all sessions and waits for their goroutines.
func (b *Client) Close() {
	b.once.Do(func() {
		b.cancel()
		b.wg.Wait()
		close(b.done)
	})
}

// Done returns a channel that is closed once Close has finished.
func (b *Client) Done() <-chan struct{} { return b.done }

// SetLenders replaces the set of lenders to keep sessions with, given as "ip:port" by
// server ID. The session with a lender that is no longer in the set is kept until none
// of its grants is in use and no ask is waiting for it.
func (b *Client) SetLenders(addrs map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	for server, l := range b.links {
		if addr, wanted := addrs[server]; wanted && addr != l.addr || !wanted && l.unused() {
			l.cancel()
			delete(b.links, server)
		}
	}
	for server, addr := range addrs {
		if b.links[server] == nil {
			b.links[server] = b.startLink(server, addr)
		}
	}
}

func (b *Client) startLink(server, addr string) *link {
	l := &link{b: b, server: server, addr: addr, pending: make(map[string]chan<- decision), held: make(map[string]bool)}
	l.ctx, l.cancel = context.WithCancel(b.ctx)
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		l.run()
	}()

	return l
}

func (b *Client) link(server string) *link {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.links[server]
}

// Load returns the latest load of a server. ok is false while there is no session with
// its lender.
func (b *Client) Load(server string) (Load, bool) {
	l := b.link(server)
	if l == nil {
		return Load{}, false
	}

	return l.lastLoad()
}

// NeverConnected reports whether several attempts to reach the agent beside a server have failed
// and none has ever succeeded.
func (b *Client) NeverConnected(server string) bool {
	l := b.link(server)

	return l != nil && l.neverConnected()
}

// Grant is the right to use memory or a prompt slot of a server. The holder must call
// Release or Broken once its work has ended.
type Grant struct {
	Server string
	// Wait is the time from the ask to the grant.
	Wait    time.Duration
	release func(broken bool)
	once    sync.Once
}

// NewGrant returns a grant that calls release when it is returned.
func NewGrant(server string, release func(broken bool)) *Grant {
	return &Grant{Server: server, release: release}
}

// Release returns the grant after the work has ended normally.
func (g *Grant) Release() { g.once.Do(func() { g.release(false) }) }

// ReleaseBroken returns the grant and reports that the server could not be reached or broke off
// the work, so it may have crashed.
func (g *Grant) ReleaseBroken() { g.once.Do(func() { g.release(true) }) }

// RefusedError is returned if no server granted an ask.
type RefusedError struct {
	Reason string
	// After is the time after which a new ask may succeed, 0 if unknown.
	After time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// ErrUnreachable is returned if there is no session with any of the lenders asked.
var ErrUnreachable = errors.New("no lender is reachable")

// decision is the reply of one lender to an ask.
type decision struct {
	link    *link
	id      string
	granted bool
	refused RefusedError
}

// Ask asks the lenders of all given servers and returns the first grant. It returns a
// *RefusedError with the shortest retry time if all refused, ErrDown if none is
// reachable, or an error that wraps the cause of ctx.
func (b *Client) Ask(ctx context.Context, a Ask, servers []string) (*Grant, error) {
	start := b.s.Timer.Now()
	decisions := make(chan decision, len(servers))
	outstanding := make(map[*link]string)
	for _, server := range servers {
		l := b.link(server)
		if l == nil {
			continue
		}
		id := a.ID + "/" + strconv.FormatUint(b.lastID.Add(1), 10)
		if l.ask(id, a, decisions) {
			outstanding[l] = id
		}
	}
	refused := &RefusedError{Reason: "down"}
	for len(outstanding) > 0 {
		select {
		case d := <-decisions:
			delete(outstanding, d.link)
			if d.granted {
				withdraw(outstanding)

				g := NewGrant(d.link.server, func(broken bool) { d.link.release(d.id, broken) })
				g.Wait = b.s.Timer.Now().Sub(start)

				return g, nil
			}
			if refused.After == 0 || d.refused.After > 0 && d.refused.After < refused.After {
				*refused = d.refused
			}
		case <-ctx.Done():
			withdraw(outstanding)

			return nil, errors.Newf("wait for a grant: %w", context.Cause(ctx))
		}
	}
	if refused.Reason == "down" {
		return nil, ErrUnreachable
	}

	return nil, refused
}

// withdraw cancels the asks that are still outstanding.
func withdraw(outstanding map[*link]string) {
	for l, id := range outstanding {
		l.withdraw(id)
	}
}
