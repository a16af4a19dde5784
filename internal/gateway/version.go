package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/versioner"
	"github.com/damasklever/damasklever/internal/wire"
)

// Versions knows at which software version of their servers streams began. What two versions
// generate does not fit together.
type Versions interface {
	// Record keeps the origin of the stream that a request has begun, for the time ttl. It
	// does not block.
	Record(id string, o versioner.Origin, ttl time.Duration)
	// Locate returns the origin of the stream that a request has begun, here or at another
	// gateway.
	Locate(ctx context.Context, id string) (versioner.Origin, versioner.Answer)
	// Sole returns the only version of a pool whose streams may still go on, as is certain after
	// the call. It returns false if there are several, or if that is not certain.
	Sole(ctx context.Context, pool string) (string, bool)
}

// listedVersions knows nothing but the listed servers.
type listedVersions struct{ placer *placer.Placer }

// Record implements Versions.
func (listedVersions) Record(string, versioner.Origin, time.Duration) {}

// Locate implements Versions.
func (listedVersions) Locate(context.Context, string) (versioner.Origin, versioner.Answer) {
	return versioner.Origin{}, versioner.Unknown
}

// Sole implements Versions.
func (v listedVersions) Sole(_ context.Context, pool string) (string, bool) {
	versions := v.placer.Versions(pool)
	if len(versions) != 1 {
		return "", false
	}

	return versions[0], true
}

// originMargin is added to the time for which an origin is kept. It covers clocks and delays
// of the processes that keep it.
const originMargin = 5 * time.Second

// noVersionRetryAfter is the time after which callers may retry a stream whose version has no
// server: one that has crashed is back by then, and none that has left ever is.
const noVersionRetryAfter = 5 * time.Second

// resolveVersion binds a request that resumes a stream to the pool and the software version
// that began it. It refuses a stream whose version is not known, since no server may go on
// with it, and returns false.
func (f *forwarder) resolveVersion() bool {
	if f.hints.LastEventID == "" {
		return true
	}
	o, answer := f.locateOrigin()
	if answer != versioner.Known {
		after := f.g.s.NoServerRetryAfter
		if answer == versioner.Unsure {
			after = f.g.s.RetryAfter
		}
		f.g.metrics.observeResumed(false)
		f.refuse("the version that began the stream is not known", after)

		return false
	}
	f.g.metrics.observeResumed(true)
	f.bound, f.version = true, o.Version
	if o.Pool == f.pool {
		return true
	}
	if !slices.ContainsFunc(f.path.GetShares(), func(s *wire.Share) bool { return s.GetPool() == o.Pool }) {
		f.refuse("the path no longer leads to the pool that began the stream", noVersionRetryAfter)

		return false
	}
	f.pool = o.Pool

	return true
}

// locateOrigin returns where the stream began that the request resumes. A stream that nobody
// knows can only have begun at the version of a path's pool that has no other one.
func (f *forwarder) locateOrigin() (versioner.Origin, versioner.Answer) {
	o, answer := f.g.s.Versions.Locate(f.ctx, f.hints.Resumes)
	if answer == versioner.Known || len(f.path.GetShares()) != 1 {
		return o, answer
	}
	version, ok := f.g.s.Versions.Sole(f.ctx, f.pool)
	if !ok {
		return o, answer
	}

	return versioner.Origin{Pool: f.pool, Version: version}, versioner.Known
}

// bind binds the stream to the software version of the server that has generated its first
// event, or its first event after those that the caller has. It is called before the event is
// passed on, and keeps the version for gateways to which the caller may come back.
func (f *forwarder) bind(s *placer.Server) {
	if !f.bound {
		f.bound, f.version = true, s.Version
	}
	if f.recorded || !f.path.GetResume() {
		return
	}
	f.recorded = true
	o := versioner.Origin{Pool: f.pool, Version: f.version}
	limit := max(f.hints.Timeout, time.Duration(f.path.GetTimeout())*time.Millisecond)
	ttl := limit - f.g.s.Timer.Now().Sub(f.arrived) + originMargin
	f.g.s.Versions.Record(f.hints.ID, o, ttl)
	if f.hints.LastEventID != "" && f.hints.Resumes != "" {
		f.g.s.Versions.Record(f.hints.Resumes, o, ttl)
	}
}
