// Package borrower is the entry's side of the lenders beside backend servers. It
// keeps a session with each, knows their last load, and asks several of them at a
// time for one request: the first grant wins.
package borrower

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Settings of a borrower. Name and Timer have no defaults.
type Settings struct {
	// Name is unique to this start of the entry process.
	Name  string
	Timer timer.Service
	Log   *log.Logger
	// Renew is the time between two signs of life to a lender.
	Renew time.Duration
	// Silence is how long a lender may send nothing before its session is given up.
	Silence time.Duration
	// MinWait and MaxWait bound the wait between attempts to connect.
	MinWait, MaxWait time.Duration
	// Absent is the longest such wait for a lender that has never answered: most likely
	// there is no agent beside that server.
	Absent time.Duration
}

const (
	// defaultRenew and defaultSilence allow for two lost messages within the lease
	// of a lender, and of its pulse.
	defaultRenew   = 600 * time.Millisecond
	defaultSilence = 1500 * time.Millisecond
	defaultMinWait = 200 * time.Millisecond
	defaultMaxWait = 2 * time.Second
	defaultAbsent  = 15 * time.Second
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.Renew, defaultRenew},
		{&s.Silence, defaultSilence},
		{&s.MinWait, defaultMinWait},
		{&s.MaxWait, defaultMaxWait},
		{&s.Absent, defaultAbsent},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	if s.Name == "" || s.Timer == nil {
		return errors.New("settings of borrower: name and timer must be set")
	}
	if s.Renew < 0 || s.Silence <= s.Renew || s.MinWait < 0 || s.MaxWait < s.MinWait || s.Absent < s.MaxWait {
		return errors.New("settings of borrower: silence must be longer than renew, absent not shorter than the longest wait, and no duration negative")
	}

	return nil
}

// Load is what a lender last said of its server.
type Load struct {
	// Total and Free are tokens of a decode server, and prompts of a prefill server.
	Total, Free int
	Queued      int // asks that wait
	// Waits are the expected waits by rank.
	Waits   []time.Duration
	Leaving bool
	Age     time.Duration
}

// Ask is what a request needs of one server.
type Ask struct {
	ID      string // of the request
	Phase   wire.Phase
	Rank    int
	Due     time.Duration // from now, until the grant is useless
	Tokens  int           // of memory
	Cost    time.Duration // expected time on the server
	Service string
	Caller  string
}

// Borrower keeps the sessions. Its methods may be called from any goroutine.
type Borrower struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // it is the lifetime of the borrower
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
	number atomic.Uint64 // of the last ask

	mu    sync.Mutex
	links map[string]*link // by server
}

// New returns a borrower without sessions.
func New(s Settings) (*Borrower, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Borrower{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), links: make(map[string]*link)}, nil
}

// Close ends all sessions.
func (b *Borrower) Close() {
	b.once.Do(func() {
		b.cancel()
		b.work.Wait()
		close(b.done)
	})
}

// Done is closed by Close.
func (b *Borrower) Done() <-chan struct{} { return b.done }

// SetLenders replaces the lenders to keep sessions with: "ip:port" by server. A session
// with another one is kept until no grant of it is in use and no ask waits there.
func (b *Borrower) SetLenders(addrs map[string]string) {
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
			b.links[server] = b.open(server, addr)
		}
	}
}

func (b *Borrower) open(server, addr string) *link {
	l := &link{b: b, server: server, addr: addr, pending: make(map[string]chan<- verdict), held: make(map[string]bool)}
	l.ctx, l.cancel = context.WithCancel(b.ctx)
	b.work.Add(1)
	go func() {
		defer b.work.Done()
		l.run()
	}()

	return l
}

func (b *Borrower) link(server string) *link {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.links[server]
}

// Load returns what a server's lender last said; ok is false while there is no
// session with it.
func (b *Borrower) Load(server string) (Load, bool) {
	l := b.link(server)
	if l == nil {
		return Load{}, false
	}

	return l.current()
}

// Absent tells that no agent has ever answered beside a server to which a session was
// tried more than once.
func (b *Borrower) Absent(server string) bool {
	l := b.link(server)

	return l != nil && l.absent()
}

// Grant is memory or a turn at a server. Release must be called once its work has
// ended.
type Grant struct {
	Server string
	// Wait is how long it took.
	Wait    time.Duration
	release func(broken bool)
	once    sync.Once
}

// NewGrant returns a grant that release gives back.
func NewGrant(server string, release func(broken bool)) *Grant {
	return &Grant{Server: server, release: release}
}

// Release gives the grant back.
func (g *Grant) Release() { g.once.Do(func() { g.release(false) }) }

// Broken gives the grant back and says that the server could not be reached or broke
// the work off: it may be gone.
func (g *Grant) Broken() { g.once.Do(func() { g.release(true) }) }

// RefusedError says that no server would grant an ask.
type RefusedError struct {
	Reason string
	// After is when a new ask can succeed, 0 if unknown.
	After time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// ErrDown says that no session with a lender is there.
var ErrDown = errors.New("no lender is reachable")

// verdict is the answer of one lender.
type verdict struct {
	link    *link
	id      string
	granted bool
	refused RefusedError
}

// Ask asks the lenders of all servers named and returns the first grant. The
// error is a *RefusedError with the earliest time to come back, ErrDown, or that
// of ctx.
func (b *Borrower) Ask(ctx context.Context, a Ask, servers []string) (*Grant, error) {
	begun := b.s.Timer.Now()
	answers := make(chan verdict, len(servers))
	asked := make(map[*link]string)
	for _, server := range servers {
		l := b.link(server)
		if l == nil {
			continue
		}
		id := a.ID + "/" + strconv.FormatUint(b.number.Add(1), 10)
		if l.ask(id, a, answers) {
			asked[l] = id
		}
	}
	refused := &RefusedError{Reason: "down"}
	for len(asked) > 0 {
		select {
		case v := <-answers:
			delete(asked, v.link)
			if v.granted {
				withdraw(asked)

				g := NewGrant(v.link.server, func(broken bool) { v.link.release(v.id, broken) })
				g.Wait = b.s.Timer.Now().Sub(begun)

				return g, nil
			}
			if refused.After == 0 || v.refused.After > 0 && v.refused.After < refused.After {
				*refused = v.refused
			}
		case <-ctx.Done():
			withdraw(asked)

			return nil, errors.Newf("wait for a grant: %w", context.Cause(ctx))
		}
	}
	if refused.Reason == "down" {
		return nil, ErrDown
	}

	return nil, refused
}

// withdraw ends the asks that lost.
func withdraw(asked map[*link]string) {
	for l, id := range asked {
		l.withdraw(id)
	}
}
