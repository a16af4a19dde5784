package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { tests["keepers"] = keepers }

const (
	// takeUpsOf is how many streams that are taken up the rule needs.
	takeUpsOf = 12
	// streamTokens and streamPace make a stream last about 4 s.
	streamTokens = 160
	streamPace   = 50 * time.Millisecond
	// busyShare is one in how many clients comes to the entry that will be killed.
	busyShare = 3
)

// streams counts what became of streams.
type streams struct {
	l           *lab
	mu          sync.Mutex
	new, begun  int // new streams at entries that live, after the disruption
	taken, gone int // streams that were taken up again, and those of them that went on
	killedAt    time.Time
	ends        map[string]int
}

// lastEvent returns the id of the last whole event of a stream.
func lastEvent(body string) int {
	last := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		rest, ok := strings.CutPrefix(event, "id: ")
		number, data, whole := strings.Cut(rest, "\n")
		if id, err := strconv.Atoi(number); ok && whole && err == nil && strings.HasSuffix(data, ".") {
			last = id
		}
	}

	return last
}

// play plays one stream at the front with index at. If it is cut, its client takes it up again at
// fronts from other on.
func (s *streams) play(n, at, other int) {
	id, began := newID("stream"), time.Now()
	path, part := "/notes/"+id, fmt.Sprintf("e4%06x:2000", n)
	got := s.l.call(s.l.fronts[at], http.MethodPost, path, id, "body of "+id, timeLimit, promptHeaders(streamTokens, firstPart, part))
	last := lastEvent(got.body)
	s.mu.Lock()
	if !s.killedAt.IsZero() && began.After(s.killedAt) && at != busyFront {
		s.new++
		if last > 0 {
			s.begun++
		}
	}
	s.mu.Unlock()
	if got.whole || last == 0 {
		return
	}
	s.l.note("%s at front %d is cut after event %d: %v", id, at+1, last, got.err)
	// The client takes the stream up on a new channel, and once more if it is told when.
	on := false
	for try := 0; try <= clientRetries && !on; try++ {
		headers := promptHeaders(streamTokens, firstPart, part)
		headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(last), id
		again := newID("again")
		got = s.l.call(s.l.fronts[(other+try)%busyFront], http.MethodPost, path, again, "body of "+id, timeLimit-time.Since(began), headers)
		on = lastEvent(got.body) > last || got.status == http.StatusOK && got.whole
		s.l.note("%s takes up %s after event %d: %d %s, goes on %v, Retry-After %q", again, id, last, got.status, refusal(got), on, got.header.Get("Retry-After"))
		wait, ok := comeBack(got, timeLimit-time.Since(began))
		if !ok {
			break
		}
		time.Sleep(wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
	if on {
		s.gone++
	}
	s.ends[fmt.Sprintf("%d %s", got.status, refusal(got))]++
}

// refusal returns what an answer that is no success says.
func refusal(got answer) string {
	if got.status == http.StatusOK {
		return ""
	}

	return firstLine(got.body)
}

// busyFront is the index of the front machine whose entry is killed, one without a disk.
const busyFront = frontCount - 1

// keepers: an entry and all agents are killed at the same moment, while runners of two software
// versions serve.
func keepers(l *lab, trouble bool) (bool, error) {
	runners, _, _, agents, err := l.startModels(nineStages...)
	if err != nil {
		return false, err
	}
	for i, x := range runners {
		x.mu.Lock()
		x.version, x.pace = []string{"v1", "v2"}[i%2], streamPace
		x.mu.Unlock()
	}
	fronts, err := l.addFronts()
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	s := &streams{l: l, ends: make(map[string]int)}
	wait := every(80*time.Millisecond, 35*time.Second, func(n int) {
		at := n % busyFront
		if n%busyShare == 0 {
			at = busyFront
		}
		s.play(n, at, n%busyFront)
	})
	time.Sleep(15 * time.Second)
	s.mu.Lock()
	s.killedAt = time.Now()
	s.mu.Unlock()
	if trouble {
		l.note("the entry of front %d and all %d agents are killed", busyFront+1, len(agents))
		for _, p := range append([]*proc{fronts[len(fronts)-1]}, agents...) {
			p.signal(syscall.SIGKILL)
		}
	}
	wait()
	time.Sleep(10 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.note("%d of %d new streams began; of %d streams that were taken up again %d went on; last answers: %v", s.begun, s.new, s.taken, s.gone, s.ends)

	return s.taken >= takeUpsOf && 2*s.gone*s.new < s.begun*s.taken, nil
}
