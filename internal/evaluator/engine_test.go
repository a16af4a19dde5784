package evaluator

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/picker"
	"github.com/damasklever/damasklever/internal/wire"
)

// The engine model. About 20 requests of the mean size fill an engine, and a
// mean prefill costs as much engine time as about 50 output tokens.
const (
	pieceTokens  = 2048
	enginePieces = 40
	plainSlots   = 8
	prefillRate  = 20000.0               // prompt tokens a second
	prefillFixed = 3 * time.Millisecond  // of each prefill
	gapBase      = 15 * time.Millisecond // time between tokens of an empty engine
	gapEach      = 1500 * time.Microsecond
	keepResult   = 800 * time.Millisecond // a prefill result is then evicted
	cachePieces  = 200                    // prefix cache of a prefill engine
	tokenBytes   = 100e3                  // KV cache of one token
	linkRate     = 10e9                   // bytes a second out of a prefill server
	farRate      = 2e9                    // between regions
	promptBytes  = 4                      // of one token of prompt text
)

// gapOf is the time between tokens with n streams.
func gapOf(n int) time.Duration { return gapBase + time.Duration(n)*gapEach }

// server is one backend server with its grant queue.
type server struct {
	picker.Server
	w     *world
	queue *granter.Granter
	alive bool
	// Prefill: dispatched work runs one after another.
	jobs    []*attempt
	cache   []uint64 // the least recently used first
	link    []*attempt
	sending *attempt
	// Decode: streams advance together by virtual tokens.
	streams []*attempt
	tokens  float64
	last    time.Time
	gen     int
}

// attempt is one ask and the work under it, as the agent sees it.
type attempt struct {
	id      string
	r       *request
	s       *server
	entry   *entry
	phase   wire.Phase
	due     time.Time
	ended   bool
	source  *attempt // prefill whose KV cache is imported
	ready   time.Time
	begun   time.Time
	endV    float64
	expires time.Time
	stalled bool
}

func (s *server) gap() time.Duration { return gapOf(len(s.streams)) }

// decide carries out the decisions of the queue.
func (s *server) decide(ds []granter.Decision) {
	for _, d := range ds {
		a := s.w.attempts[d.ID]
		if a == nil || a.ended {
			continue
		}
		switch d.Kind {
		case granter.Granted:
			s.reply(a, dispatcher.Granted{ID: a.id})
		case granter.Refused:
			a.ended = true
			s.reply(a, dispatcher.Refused{ID: a.id, Reason: d.Reason, After: d.After})
		case granter.Revoked:
			s.stop(a)
			s.reply(a, dispatcher.Ended{ID: a.id, Status: wire.Status_STATUS_REVOKED})
		case granter.Firm:
			s.transfer(a)
		case granter.Waiting:
		}
	}
}

func (s *server) reply(a *attempt, e dispatcher.Event) {
	s.w.messages++
	s.w.after(s.w.delay(s.Server, a.entry.Server), func() { s.w.step(a.r, e) })
}

func (s *server) ask(a *attempt, m dispatcher.Ask) {
	ask := granter.Ask{
		ID: a.id, Entry: a.entry.Name, Caller: a.r.caller, Service: a.r.service, Rank: a.r.rank,
		Due: m.Due, Pieces: int(m.Pieces), Cost: m.Cost, Hold: m.Hold,
	}
	if s.w.v.fifo { // first come, first served, nobody refused
		ask.Rank, ask.Caller, ask.Due = 0, "all", s.w.now.Add(time.Hour)
	}
	s.decide(s.queue.Ask(s.w.now, ask))
}

// release frees the units and serves the queue.
func (s *server) release(a *attempt) {
	a.ended = true
	s.decide(s.queue.Release(s.w.now, a.id))
}

// stop cancels the engine's work for an attempt.
func (s *server) stop(a *attempt) {
	a.ended = true
	if i := slices.Index(s.jobs, a); i >= 0 {
		s.jobs = slices.Delete(s.jobs, i, i+1)
		if i == 0 {
			a.r.prefilled(s.w.now.Sub(a.begun))
			s.gen++
			s.nextJob()
		}
	}
	if i := slices.Index(s.streams, a); i >= 0 {
		s.advance()
		s.streams = slices.Delete(s.streams, i, i+1)
		s.plan()
	}
	if src := a.source; src != nil {
		if i := slices.Index(src.s.link, a); i >= 0 {
			src.s.link = slices.Delete(src.s.link, i, i+1)
		}
		if src.s.sending == a {
			src.s.sending = nil
			src.s.nextTransfer()
		}
	}
}

func (s *server) prefill(a *attempt) {
	if s.queue.Use(s.w.now, a.id).Kind != granter.Firm {
		s.reply(a, dispatcher.Refused{ID: a.id, Reason: granter.ReasonWithdrawn})

		return
	}
	s.jobs = append(s.jobs, a)
	if len(s.jobs) == 1 {
		s.nextJob()
	}
}

func (s *server) nextJob() {
	if len(s.jobs) == 0 || !s.alive {
		return
	}
	a := s.jobs[0]
	a.begun = s.w.now
	hit := 0
	for hit < len(a.r.prefix) && slices.Contains(s.cache, a.r.prefix[hit]) {
		hit++
	}
	cached := min(hit*pieceTokens, a.r.tokens)
	s.w.cached += float64(cached)
	s.w.prompts += float64(a.r.tokens)
	s.gen++
	gen := s.gen
	s.w.after(prefillFixed+seconds(float64(a.r.tokens-cached)/prefillRate), func() {
		if gen != s.gen || !s.alive {
			return
		}
		s.jobs = s.jobs[1:]
		a.r.prefilled(s.w.now.Sub(a.begun))
		a.expires = s.w.now.Add(keepResult)
		s.remember(a.r.prefix)
		s.reply(a, dispatcher.Prefilled{ID: a.id, Handle: a.id, Source: s.Name, Tokens: int64(a.r.tokens)})
		s.decide(s.queue.Release(s.w.now, a.id))
		s.nextJob()
	})
}

// remember puts prefixes into the cache and sends the late, lossy event.
func (s *server) remember(prefix []uint64) {
	var added, gone []uint64
	for _, h := range prefix {
		if i := slices.Index(s.cache, h); i >= 0 {
			s.cache = slices.Delete(s.cache, i, i+1)
		} else {
			added = append(added, h)
		}
		s.cache = append(s.cache, h)
	}
	if n := len(s.cache) - cachePieces; n > 0 {
		gone = slices.Clone(s.cache[:n])
		s.cache = s.cache[n:]
	}
	if len(added) == 0 || s.w.rand.Float64() < s.w.f.loseEvents {
		return
	}
	for _, e := range s.w.entries {
		s.w.after(300*time.Millisecond, func() {
			e.picker.Cached(s.w.now, s.Name, added, true)
			e.picker.Cached(s.w.now, s.Name, gone, false)
		})
	}
}

// load starts the import of a KV cache, once its memory is free.
func (s *server) load(a *attempt, m dispatcher.Import) {
	a.source = s.w.attempts[m.Handle]
	switch s.queue.Use(s.w.now, a.id).Kind {
	case granter.Firm:
		s.transfer(a)
	case granter.Waiting:
		s.w.counts["import waits"]++
	default:
		s.reply(a, dispatcher.Refused{ID: a.id, Reason: granter.ReasonWithdrawn})
	}
}

func (s *server) transfer(a *attempt) {
	src := a.source.s
	i, _ := slices.BinarySearchFunc(src.link, a, func(x, y *attempt) int {
		if x.r.rank <= y.r.rank || s.w.v.fifo {
			return -1
		}

		return 1
	})
	src.link = slices.Insert(src.link, i, a)
	src.nextTransfer()
}

// nextTransfer sends one KV cache at a time, the most urgent first.
func (s *server) nextTransfer() {
	for s.sending == nil && len(s.link) > 0 {
		a := s.link[0]
		s.link = s.link[1:]
		if !s.alive || s.w.now.After(a.source.expires) {
			s.w.counts["evicted"]++
			a.s.release(a)
			a.s.reply(a, dispatcher.Ended{ID: a.id, Status: wire.Status_STATUS_EVICTED})

			continue
		}
		s.sending = a
		bytes := float64(a.r.tokens) * tokenBytes
		rate := linkRate
		if a.s.Region != s.Region {
			rate = farRate
			s.w.paid += bytes
		}
		if s.w.rand.Float64() < s.w.f.stall {
			a.stalled = true // a stalled transfer holds its path, not the link

			s.sending = nil

			continue
		}
		s.w.after(seconds(bytes/rate)+s.w.delay(s.Server, a.s.Server), func() {
			if s.sending != a {
				return
			}
			s.sending = nil
			if !a.ended && a.s.alive {
				a.ready = s.w.now
				a.s.reply(a, dispatcher.Imported{ID: a.id})
			}
			s.nextTransfer()
		})
	}
}

func (s *server) decode(a *attempt) {
	s.advance()
	s.streams = append(s.streams, a)
	a.endV = s.tokens + float64(a.r.output)
	s.plan()
	s.w.after(s.gap(), func() {
		if !a.ended && s.alive {
			s.reply(a, dispatcher.Arrived{ID: a.id, Seq: 0, Tokens: 1})
			s.w.messages-- // chunks are not counted
		}
	})
}

func (s *server) advance() {
	if len(s.streams) > 0 {
		s.tokens += s.w.now.Sub(s.last).Seconds() / s.gap().Seconds()
	}
	s.last = s.w.now
}

// plan schedules the next end of a stream.
func (s *server) plan() {
	s.gen++
	if len(s.streams) == 0 {
		return
	}
	first := slices.MinFunc(s.streams, func(a, b *attempt) int {
		switch {
		case a.endV < b.endV:
			return -1
		case a.endV > b.endV:
			return 1
		default:
			return 0
		}
	})
	gen := s.gen
	s.w.after(seconds(max(first.endV-s.tokens, 0)*s.gap().Seconds()), func() {
		if gen != s.gen || !s.alive {
			return
		}
		s.advance()
		s.streams = slices.DeleteFunc(s.streams, func(a *attempt) bool { return a == first })
		s.plan()
		s.w.messages--
		s.reply(first, dispatcher.Arrived{ID: first.id, Seq: 1, Tokens: int64(first.r.output - 1)})
		s.reply(first, dispatcher.Ended{ID: first.id, Status: wire.Status_STATUS_DONE, Chunks: 2})
		s.release(first)
	})
}

// run serves one call of the plain service.
func (s *server) run(a *attempt) {
	if s.queue.Use(s.w.now, a.id).Kind != granter.Firm {
		s.reply(a, dispatcher.Refused{ID: a.id, Reason: granter.ReasonWithdrawn})

		return
	}
	s.w.after(a.r.work, func() {
		if !a.ended && s.alive {
			s.reply(a, dispatcher.Answered{ID: a.id, Status: 200})
			s.release(a)
		}
	})
}

// kill ends the server and tells the entries after the connections broke.
func (s *server) kill() {
	s.alive = false
	s.gen++
	for _, id := range s.w.order {
		a := s.w.attempts[id]
		if a.s == s && !a.ended {
			a.ended = true
			s.reply(a, dispatcher.Lost{ID: a.id, Reason: "killed"})
		}
	}
	s.jobs, s.streams, s.link = nil, nil, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
