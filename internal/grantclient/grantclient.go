// Package grantclient is the client of the grant servers, the agents beside backend servers
// that grant the memory of those servers. An entry process uses it to keep sessions with
// grant servers and to know their latest load. For each request, it asks several of them at
// once and uses the first grant.
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
	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Settings configures a Client. Name and Timer are required.
type Settings struct {
	// Name must be unique to this run of the entry process.
	Name  string
	Timer timer.Service
	Log   *log.Logger
	// Renew is the interval between lease renewals to a grant server.
	Renew time.Duration
	// SilenceTimeout is how long a grant server may send nothing before its session is closed.
	SilenceTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between connection attempts.
	MinBackoff, MaxBackoff time.Duration
	// AbsentBackoff is the maximum time between connection attempts to a grant server that
	// has never answered: most likely there is no agent beside that server.
	AbsentBackoff time.Duration
}

const (
	// With defaultRenew, two renewals may be lost within the grant server's default lease of
	// 2 s. defaultSilenceTimeout tolerates one lost load message, of which there is one about
	// every 600 ms or sooner.
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
		return errors.New("grant client settings: Name and Timer are required")
	}
	if s.Renew < 0 || s.SilenceTimeout <= s.Renew || s.MinBackoff < 0 || s.MaxBackoff < s.MinBackoff || s.AbsentBackoff < s.MaxBackoff {
		return errors.New("grant client settings: SilenceTimeout must be longer than Renew, AbsentBackoff at least MaxBackoff, MaxBackoff at least MinBackoff, and no duration negative")
	}

	return nil
}

// Load is the load that a grant server last reported for its backend server.
type Load struct {
	// Total and Free are counted in tokens for a decode server and in prompts for a
	// prefill server.
	Total, Free int
	Queued      int // number of queued asks
	// Waits are the expected queueing times by priority class.
	Waits   []time.Duration
	Leaving bool
	// Limit is the number of requests per second that the server takes in all, 0 if it names
	// none.
	Limit float64
	// Speed is what the grant server has measured of its backend server.
	Speed observer.Speed
	Age   time.Duration // since the last message of the grant server
}

// Ask is a request for a grant at one server.
type Ask struct {
	ID      string // of the request
	Phase   wire.Phase
	Rank    int           // priority class, 0 is the most urgent
	Due     time.Duration // time from now after which the grant is useless
	Tokens  int           // memory needed
	Cost    time.Duration // expected processing time on the server
	Output  int           // expected output tokens, 0 if unknown
	Service string
	Caller  string
	Weight  float64 // of the caller among callers of the same rank, 0 for 1
	Paced   bool    // a server that has started or recovered is loaded gradually
}

// Client keeps the sessions with grant servers. It is safe for concurrent use.
type Client struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // lifetime of the client
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	lastID atomic.Uint64 // sequence number of the last ask

	mu    sync.Mutex
	links map[string]*link // by server ID
	quiet map[string]bool  // servers at which no grants are asked for
	// births holds the starts of the servers that the entry knows, as Unix milliseconds.
	births map[string]int64
}

// New returns a client without sessions. SetGrantServers starts them.
func New(s Settings) (*Client, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Client{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), links: make(map[string]*link)}, nil
}

// Close ends all sessions and waits for their goroutines.
func (c *Client) Close() {
	c.once.Do(func() {
		c.cancel()
		c.wg.Wait()
		close(c.done)
	})
}

// Done returns a channel that is closed once Close has finished.
func (c *Client) Done() <-chan struct{} { return c.done }

// SetGrantServers replaces the set of grant servers to keep sessions with, given as
// "ip:port" by ID of the backend server. The session with a grant server that is no longer
// in the set is kept until none of its grants is in use and no ask is waiting for it.
func (c *Client) SetGrantServers(addrs map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	for server, l := range c.links {
		if addr, wanted := addrs[server]; wanted && addr != l.addr || !wanted && l.unused() {
			l.cancel()
			delete(c.links, server)
		}
	}
	for server, addr := range addrs {
		if c.links[server] == nil {
			c.links[server] = c.startLink(server, addr)
		}
	}
}

// SetQuiet names the servers with whose agents the entry has sessions for other purposes than
// grants. They send their loads only as a sign of life, and have none as far as Load tells.
func (c *Client) SetQuiet(servers map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = servers
	for server, l := range c.links {
		l.setQuiet(servers[server])
	}
}

// SetBirths names the starts of the servers that the entry knows, as Unix milliseconds by server
// ID. A grant server grants nothing to an entry that knows another start of its server.
func (c *Client) SetBirths(births map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.births = births
	for server, l := range c.links {
		l.setBirth(births[server])
	}
}

func (c *Client) startLink(server, addr string) *link {
	l := &link{c: c, server: server, addr: addr, quiet: c.quiet[server], birth: c.births[server], pending: make(map[string]chan<- decision), held: make(map[string]bool), lookups: make(map[string][]chan<- *wire.Located)}
	l.ctx, l.cancel = context.WithCancel(c.ctx)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		l.run()
	}()

	return l
}

func (c *Client) link(server string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.links[server]
}

// Load returns the latest load of a server. ok is false while there is no session with
// its grant server, or no grants are asked for there.
func (c *Client) Load(server string) (Load, bool) {
	l := c.link(server)
	if l == nil || l.isQuiet() {
		return Load{}, false
	}

	return l.lastLoad()
}

// Limited returns the loads of the servers that limit their requests.
func (c *Client) Limited() map[string]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]Load
	for server, l := range c.links {
		load, ok := l.lastLoad()
		if !ok || load.Limit <= 0 {
			continue
		}
		if out == nil {
			out = make(map[string]Load)
		}
		out[server] = load
	}

	return out
}

// NeverConnected reports whether several attempts to reach the grant server of a backend
// server have failed and none has ever succeeded.
func (c *Client) NeverConnected(server string) bool {
	l := c.link(server)

	return l != nil && l.neverConnected()
}

// Grant is the right to use memory or a prompt slot of a server. The holder must call
// Release or ReleaseBroken once its work has ended.
type Grant struct {
	Server string
	// Wait is the time from the ask to the grant.
	Wait    time.Duration
	release func(broken bool)
	// withdraw returns the grant without saying anything about the server.
	withdraw func()
	once     sync.Once
}

// NewGrant returns a grant that calls release when it is returned.
func NewGrant(server string, release func(broken bool)) *Grant {
	return &Grant{Server: server, release: release, withdraw: func() { release(false) }}
}

// Release returns the grant after the work has ended normally.
func (g *Grant) Release() { g.once.Do(func() { g.release(false) }) }

// Withdraw returns a grant that was not used, or whose work the server has not completed without
// being to blame: it says nothing about the server.
func (g *Grant) Withdraw() { g.once.Do(g.withdraw) }

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

// ErrUnreachable is returned if there is no session with any of the grant servers asked.
var ErrUnreachable = errors.New("no grant server is reachable")

// decision is the reply of one grant server to an ask.
type decision struct {
	link    *link
	id      string
	granted bool
	refused RefusedError
}

// Ask asks the grant servers of all given backend servers and returns the first grant. It
// returns a *RefusedError with the shortest retry time if those that are reachable refused,
// ErrUnreachable if none is reachable, or an error that wraps the cause of ctx.
func (c *Client) Ask(ctx context.Context, a Ask, servers []string) (*Grant, error) {
	start := c.s.Timer.Now()
	decisions := make(chan decision, len(servers))
	outstanding := make(map[*link]string)
	for _, server := range servers {
		l := c.link(server)
		if l == nil {
			continue
		}
		id := a.ID + "/" + strconv.FormatUint(c.lastID.Add(1), 10)
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
				g.withdraw = func() { d.link.withdraw(d.id) }
				g.Wait = c.s.Timer.Now().Sub(start)

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
