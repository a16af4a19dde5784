package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// linkQueueSize is the number of messages queued for one member. Further messages
	// are dropped, as the replication core retransmits.
	linkQueueSize = 1024
	redialDelay   = 100 * time.Millisecond
)

// errNotSent marks errors of requests that did not reach the other host.
var errNotSent = errors.New("not sent")

// links manages the connections from this host to the other control hosts.
type links struct {
	ctx  context.Context //nolint:containedctx // bounds the lifetime of the controller
	self *wire.Member
	wg   *sync.WaitGroup

	mu           sync.Mutex
	links        map[uint64]*link  // by member id
	startID      uint64            // random, differs for each start of the process
	writeCount   uint64            // of the data directory at the start of the process
	addr         string            // address of this host as known to the members
	learnedAddrs map[uint64]string // addresses of hosts that have opened a stream to this one, by member id
	sessions     map[string]*messenger.Session
}

type link struct {
	addr   string
	queue  chan *wire.Peer
	cancel context.CancelFunc
}

func newLinks(ctx context.Context, self *wire.Member, writeCount uint64, wg *sync.WaitGroup) *links {
	l := &links{
		startID: rand.Uint64(), writeCount: writeCount, //nolint:gosec // no secret
		ctx: ctx, self: self, wg: wg, addr: self.GetAddr(), links: make(map[uint64]*link),
		learnedAddrs: make(map[uint64]string), sessions: make(map[string]*messenger.Session),
	}
	context.AfterFunc(ctx, l.close)

	return l
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		_ = s.Close()
	}
}

// setMembers opens links to all members and closes those to former members.
func (l *links) setMembers(m *wire.Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := make(map[uint64]bool)
	for _, x := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		keep[x.GetId()] = true
		if x.GetId() == l.self.GetId() {
			l.addr = x.GetAddr()
		} else {
			l.openLink(x.GetId(), x.GetAddr())
		}
	}
	for id, k := range l.links {
		if !keep[id] && len(keep) > 0 {
			k.cancel()
			delete(l.links, id)
		}
	}
}

// setAddr records the address of a host that sends messages here. This is how a new
// host learns the leader's address before it knows the members.
func (l *links) setAddr(id uint64, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != "" {
		l.learnedAddrs[id] = addr
	}
}

func (l *links) openLink(id uint64, addr string) *link {
	if k := l.links[id]; k != nil && k.addr == addr {
		return k
	} else if k != nil {
		k.cancel()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{addr: addr, queue: make(chan *wire.Peer, linkQueueSize), cancel: cancel}
	l.links[id] = k
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.run(ctx, k)
	}()

	return k
}

// send queues a message for its receiver. It never blocks.
func (l *links) send(m *wire.Peer) {
	l.mu.Lock()
	k := l.links[m.GetTo()]
	if addr := l.learnedAddrs[m.GetTo()]; k == nil && addr != "" {
		k = l.openLink(m.GetTo(), addr)
	}
	l.mu.Unlock()
	if k == nil {
		return
	}
	select {
	case k.queue <- m:
	default:
	}
}

func (l *links) run(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		l.stream(ctx, k)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// stream sends queued messages until the connection or ctx ends.
func (l *links) stream(ctx context.Context, k *link) {
	session, err := messenger.Dial(ctx, k.addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	s, err := session.Open(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	join := &wire.Join{From: l.self.GetId(), Addr: l.addr, Start: l.startID, Mark: l.writeCount}
	l.mu.Unlock()
	if s.Send(&wire.Request{Body: &wire.Request_Join{Join: join}}) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.Done():
			return
		case m := <-k.queue:
			if s.Send(m) != nil {
				return
			}
		}
	}
}

// call sends one request to a control host and returns its response. An error that is
// marked errNotSent means that the host has not received the request.
func (l *links) call(ctx context.Context, addr string, r *wire.Request) (*wire.Response, error) {
	session, err := l.session(ctx, addr)
	if err != nil {
		return nil, errors.Mark(errors.Newf("connect: %w", err), errNotSent)
	}
	s, err := session.Open(ctx)
	if err != nil {
		l.closeSession(addr, session)

		return nil, errors.Mark(errors.Newf("open stream: %w", err), errNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer func() { _ = s.Close() }()
	if err := s.Send(r); err != nil {
		l.closeSession(addr, session)

		return nil, errors.Newf("send request: %w", err)
	}
	response := &wire.Response{}
	if err := s.Recv(response); err != nil {
		return nil, errors.Newf("receive response: %w", err)
	}

	return response, nil
}

func (l *links) session(ctx context.Context, addr string) (*messenger.Session, error) {
	l.mu.Lock()
	s := l.sessions[addr]
	l.mu.Unlock()
	if s != nil {
		select {
		case <-s.Done():
		default:
			return s, nil
		}
	}
	s, err := messenger.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = s.Close()

		return nil, ErrClosed
	}
	// Another call may have dialled concurrently.
	if old := l.sessions[addr]; old != nil {
		select {
		case <-old.Done():
		default:
			_ = s.Close()

			return old, nil
		}
	}
	l.sessions[addr] = s

	return s, nil
}

func (l *links) closeSession(addr string, s *messenger.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[addr] == s {
		delete(l.sessions, addr)
	}
	_ = s.Close()
}
