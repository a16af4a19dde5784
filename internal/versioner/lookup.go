package versioner

import (
	"context"
	"time"
)

// lookup asks keepers for the origin of one stream.
type lookup struct {
	v       *Versioner
	id      string
	asked   map[string]bool
	replies chan reply
	failed  bool // a keeper that may have the origin cannot be asked
}

// reply is the answer of one keeper.
type reply struct {
	origin Origin
	known  bool
	err    error
}

// run asks the keepers until one has the origin, or all have answered. It waits for the first
// session with a keeper, but not for a keeper that has gone.
func (l *lookup) run(ctx context.Context) (Origin, Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.v.s.Timer.After(locateTimeout, func(time.Time) { cancel() })()
	wake := make(chan struct{}, 1)
	defer l.v.s.Timer.Every(sessionPollInterval, func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	})()
	for pending := 0; ; {
		asked, waiting := l.ask(ctx)
		if pending += asked; pending == 0 && !waiting {
			return Origin{}, l.negative()
		}
		select {
		case r := <-l.replies:
			pending--
			if r.known {
				return r.origin, Known
			}
			l.failed = l.failed || r.err != nil
		case <-wake:
		case <-ctx.Done():
			return Origin{}, Unsure
		}
	}
}

// ask asks the keepers that were not asked yet. It returns their number, and whether there may
// be sessions with others soon.
func (l *lookup) ask(ctx context.Context) (asked int, waiting bool) {
	l.v.mu.Lock()
	sets := []*keeperSet{l.v.agents, l.v.controls}
	l.v.mu.Unlock()
	for _, set := range sets {
		n, soon := l.askWithin(ctx, set)
		asked += n
		waiting = waiting || soon
	}

	return asked, waiting
}

// askWithin asks keepers of one set.
func (l *lookup) askWithin(ctx context.Context, set *keeperSet) (asked int, waiting bool) {
	candidates := 0
	for _, name := range rank(l.id, set.all, len(set.all)) {
		if candidates == maxLookups {
			break
		}
		if l.v.s.Keepers.NeverConnected(name) {
			continue
		}
		candidates++
		if l.asked[name] || len(l.asked) == cap(l.replies) {
			continue
		}
		if _, ok := l.v.s.Keepers.Epoch(name); !ok {
			connecting := l.v.s.Keepers.Connecting(name)
			waiting = waiting || connecting
			l.failed = l.failed || !connecting

			continue
		}
		l.asked[name] = true
		asked++
		go func() {
			var r reply
			r.origin, r.known, r.err = l.v.s.Keepers.Locate(ctx, name, l.id)
			l.replies <- r // never blocks: there is room for all that are asked
		}()
	}

	return asked, waiting
}

// negative returns the answer when no keeper has the origin.
func (l *lookup) negative() Answer {
	if l.failed {
		return Unsure
	}

	return Unknown
}
