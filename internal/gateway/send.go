package gateway

import (
	"bytes"
	"context"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
)

// maxHeld bounds the body of a response that is held in memory.
const maxHeld = 256 << 10

var (
	// errBarred ends a send to a server that takes no requests any more.
	errBarred = errors.New("the server takes no requests now")
	// errLong ends the reading of a body that is over maxHeld.
	errLong = errors.New("the body of the response is too long")
)

// send sends the request to a server and hears what its response says of the server.
// A server that was chosen may have said meanwhile that it leaves.
func (f *flight) send(ctx context.Context, s *placer.Server, send Send) (*courier.Response, error) {
	if f.g.s.Placer.Barred(f.g.s.Timer.Now(), s.ID) {
		return nil, errors.Mark(errors.Newf("send to %s: %w", s.ID, errBarred), courier.ErrNotSent)
	}
	if f.blocked() > 0 {
		return nil, errBlocked
	}
	r := f.request(send)
	// A late second copy of an earlier answer bears the same id: it must not be taken for
	// the answer to this send.
	r.Fresh = slices.Contains(f.met, s.ID)
	f.met = append(f.met, s.ID)
	response, err := f.g.s.Courier.Do(ctx, s.Addr, r)
	if err != nil {
		return nil, errors.Newf("send to %s: %w", s.ID, err)
	}
	f.hear(s, response)

	return response, nil
}

// hear follows what a response says of its server.
func (f *flight) hear(s *placer.Server, r *courier.Response) {
	n, now := f.g.s.Dialect.Notice(r.Status, r.Header), f.g.s.Timer.Now()
	if n.Fault != nil {
		f.g.s.Log.Warn().Str("id", f.hints.ID).Str("server", s.ID).Err(n.Fault).Msg("notice of server ignored")
	}
	if n.Leaving && f.g.s.Placer.Left(now, s.ID) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Msg("server says that it leaves")
	}
	if n.Rest > 0 {
		kept := f.g.s.Placer.Rest(now, s.ID, n.Rest)
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Dur("asked", n.Rest).Dur("kept", kept).
			Msg("server wants a rest")
	}
}

// doubt makes others go first after a send that failed.
func (f *flight) doubt(s *placer.Server, err error) {
	if !errors.Is(err, errBarred) && !errors.Is(err, errBlocked) {
		f.g.s.Placer.Failed(f.g.s.Timer.Now(), s.ID)
	}
}

// readAll reads a body that is held as a whole. One that ends early or is too long is an
// error.
func readAll(r *courier.Response) ([]byte, error) {
	b, ended, err := readHeld(r)
	if err == nil && !ended {
		_ = r.Body.Close()
		err = errLong
	}
	if err != nil {
		return nil, errors.Newf("read body: %w", err)
	}

	return b, nil
}

// readHeld reads a body up to maxHeld bytes and tells whether that was all of it.
func readHeld(r *courier.Response) ([]byte, bool, error) {
	var b bytes.Buffer
	_, err := io.CopyN(&b, r.Body, maxHeld+1)
	switch {
	case err == nil:
		return b.Bytes(), false, nil
	case isEnd(err):
		return b.Bytes(), true, nil
	default:
		return nil, false, err //nolint:wrapcheck // the callers say what they read
	}
}
