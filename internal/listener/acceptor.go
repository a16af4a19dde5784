package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the delay before Accept is retried after an error, for example
// when the process has run out of file descriptors. nbhttp would retry at once.
const acceptRetryDelay = 50 * time.Millisecond

// acceptor is a net.Listener that can be closed before the HTTP engine stops. nbhttp
// calls Accept in a loop until its engine stops, so Accept on a closed acceptor blocks
// until release is called.
type acceptor struct {
	net.Listener
	once     sync.Once
	released chan struct{} // closed by release
	shutdown atomic.Bool   // no more connections are accepted
}

// Close implements net.Listener.
func (a *acceptor) Close() error {
	a.shutdown.Store(true)

	return a.Listener.Close() //nolint:wrapcheck // the error is that of the wrapped net.Listener
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-a.released

			return nil, errors.Newf("accept: %w", err)
		}
		select {
		case <-time.After(acceptRetryDelay):
		case <-a.released:
		}
	}
}

// release closes the acceptor and unblocks Accept.
func (a *acceptor) release() {
	a.once.Do(func() { close(a.released) })
	_ = a.Close()
}
