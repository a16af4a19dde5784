package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the wait after an Accept that failed, for example because no
// file descriptor was left. nbhttp would try again at once.
const acceptPause = 50 * time.Millisecond

// gate is a net.Listener that can be closed before its engine stops. nbhttp
// calls Accept in a loop until the engine stops, so Accept of a closed gate
// blocks until then.
type gate struct {
	net.Listener
	once sync.Once
	open chan struct{} // closed by release
	shut atomic.Bool   // nothing is accepted any more
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.shut.Store(true)

	return g.Listener.Close() //nolint:wrapcheck // net.Listener passes errors on
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-g.open

			return nil, errors.Newf("accept: %w", err)
		}
		select {
		case <-time.After(acceptPause):
		case <-g.open:
		}
	}
}

func (g *gate) release() {
	g.once.Do(func() { close(g.open) })
	_ = g.Close()
}
