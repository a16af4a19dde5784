package registrar

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// segmentKind is the kind of the segments of prompts that are suspected of crashes.
const segmentKind = "segment"

const (
	// segmentThreshold is the number of crashes after which a segment is blocked if it
	// explains them best. After ambiguousThreshold, it is also blocked together with others
	// that explain them as well.
	segmentThreshold   = 3
	ambiguousThreshold = 5
	// minUnexplained is the number of crashes at which no single segment that follows was on
	// the server, from which a segment explains its crashes better than that one.
	minUnexplained = 2
	// firstSegmentBlock is how long a segment is blocked for the first time. Each further
	// block is twice as long, up to maxSegmentBlock.
	firstSegmentBlock = time.Minute
	maxSegmentBlock   = time.Hour
	// outageWindow is the time within which reports may be of one outage. It covers the time
	// to find out that a silent server has crashed.
	outageWindow = 3 * time.Second
	// segmentRetention is how long a segment is remembered after its last crash.
	segmentRetention = 2 * time.Hour
	maxSegments      = 4_096
)

// blameSegments counts a crash against the segments of the prompts that were on the server,
// and blocks the one that explains its crashes best. A segment that has been blocked before
// is blocked again at its first crash.
//
// Requests that share a segment with a crashing one are on the server too, so the crashes of
// a segment only count until a request with it is answered well (clearSegments). The servers
// may also crash for another reason, many at once, so that the first crashes after such an
// answer do not count (excuseSegment).
func (r *Registrar) blameSegments(index uint64, now time.Time, m *wire.Blame) {
	if len(m.GetPrefixes()) == 0 {
		return
	}
	r.forgetSegments(index, now)
	for _, name := range m.GetSound() {
		r.excuseSegment(index, now, name)
	}
	names := segmentNames(m)
	if slices.ContainsFunc(names, func(name string) bool { return r.blockOf(name).GetUntil() > now.UnixMilli() }) {
		return // the crash is explained
	}
	r.makeRoomForSegments(index, names)
	for _, p := range m.GetPrefixes() {
		for i, name := range p.GetSegments() {
			if name != "" && !slices.Contains(m.GetSound(), name) {
				r.addIncident(index, now, name, p.GetSegments()[:i], m)
			}
		}
	}
	for _, name := range r.explanations(m) {
		r.blockSegment(index, now, name, m.GetServer())
	}
}

// segmentNames returns the names of all segments in a report, sorted.
func segmentNames(m *wire.Blame) []string {
	var names []string
	for _, p := range m.GetPrefixes() {
		for _, name := range p.GetSegments() {
			if name != "" {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)

	return slices.Compact(names)
}

func (r *Registrar) segment(name string) *wire.Segment {
	s, _ := r.objects.get(key{segmentKind, name}).(*wire.Segment)

	return s
}

// putSegment stores a segment, or removes it if nothing is held against it.
func (r *Registrar) putSegment(index uint64, s *wire.Segment) {
	if k := (key{segmentKind, s.GetName()}); len(s.GetIncidents()) > 0 || s.GetBlocks() > 0 {
		r.put(index, k, s)
	} else {
		r.remove(index, k)
	}
}

// addIncident counts a crash against a segment, once for all reports of the crash.
func (r *Registrar) addIncident(index uint64, now time.Time, name string, before []string, m *wire.Blame) {
	old := r.segment(name)
	if slices.ContainsFunc(old.GetIncidents(), func(i *wire.Incident) bool { return isReportOf(m, now, i) }) {
		return
	}
	incidents := append(slices.Clone(old.GetIncidents()), &wire.Incident{Crash: m.GetCrash(), Time: now.UnixMilli()})
	incidents = incidents[max(len(incidents)-ambiguousThreshold, 0):]
	r.putSegment(index, &wire.Segment{Name: name, Incidents: incidents, Blocks: old.GetBlocks(), Until: old.GetUntil(), Before: before})
}

// makeRoomForSegments removes segments so that those of a report can be stored: first those
// that were never blocked, have the fewest crashes, and the oldest of these.
func (r *Registrar) makeRoomForSegments(index uint64, names []string) {
	all := r.segments()
	surplus := len(all) - maxSegments
	for _, name := range names {
		if r.segment(name) == nil {
			surplus++
		}
	}
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(all, func(a, b *wire.Segment) int {
		return cmp.Or(cmp.Compare(a.GetBlocks(), b.GetBlocks()), cmp.Compare(len(a.GetIncidents()), len(b.GetIncidents())),
			cmp.Compare(lastCrash(a), lastCrash(b)))
	})
	for _, s := range all {
		if surplus == 0 {
			return
		}
		if !slices.Contains(names, s.GetName()) {
			r.remove(index, key{segmentKind, s.GetName()})
			surplus--
		}
	}
}

// lastCrash returns the time of the last crash that counts against a segment, or of the end
// of its last block, in Unix milliseconds.
func lastCrash(s *wire.Segment) int64 {
	last := s.GetUntil()
	for _, i := range s.GetIncidents() {
		last = max(last, i.GetTime())
	}

	return last
}

// isReportOf reports whether a report that arrives now is one of a known crash.
func isReportOf(m *wire.Blame, now time.Time, i *wire.Incident) bool {
	return i.GetCrash() == m.GetCrash() && (m.GetSpan() == 0 || now.UnixMilli()-i.GetTime() < m.GetSpan())
}

// explanations returns the segments of a report to block: of the candidates of its prefixes,
// the one with the most crashes. If several have as many, the next crash will tell, unless
// there have been too many.
func (r *Registrar) explanations(m *wire.Blame) []string {
	var out []string
	most := segmentThreshold
	for _, p := range m.GetPrefixes() {
		name, crashes := r.candidate(p.GetSegments(), m.GetSound())
		if crashes < most || slices.Contains(out, name) {
			continue
		}
		if crashes > most {
			out, most = nil, crashes
		}
		out = append(out, name)
	}
	if len(out) > 1 && most < ambiguousThreshold {
		return nil
	}

	return out
}

// candidate returns the segment of a prefix that explains its crashes best, and their number:
// the last one that has enough of them and is not sound. Those before it are shared by more
// requests.
func (r *Registrar) candidate(prefix, sound []string) (string, int) {
	for _, name := range slices.Backward(prefix) {
		if slices.Contains(sound, name) {
			continue
		}
		if crashes := r.attributable(r.segment(name)); crashes >= segmentThreshold {
			return name, crashes
		}
	}

	return "", 0
}

// attributable returns the number of crashes of a segment, or 0 if one of the segments that
// follow it explains all of them but a few. A segment that was blocked before needs no
// further proof.
func (r *Registrar) attributable(s *wire.Segment) int {
	crashes := len(s.GetIncidents())
	if s.GetBlocks() > 0 && crashes > 0 {
		return ambiguousThreshold
	}
	if crashes < segmentThreshold {
		return 0
	}
	for _, next := range r.segments() {
		if !slices.Contains(next.GetBefore(), s.GetName()) {
			continue
		}
		left := 0
		for _, i := range s.GetIncidents() {
			if !hasIncident(next, i) {
				left++
			}
		}
		if left < minUnexplained {
			return 0
		}
	}

	return crashes
}

func hasIncident(s *wire.Segment, i *wire.Incident) bool {
	return slices.ContainsFunc(s.GetIncidents(), func(x *wire.Incident) bool { return sameCrash(i, x) })
}

// blockSegment blocks a segment. Its crashes no longer count against others.
func (r *Registrar) blockSegment(index uint64, now time.Time, name, server string) {
	s := r.segment(name)
	hold := blockTime(s.GetBlocks())
	r.put(index, key{parser.Digest, name}, &wire.Block{
		Digest: name, Until: now.Add(hold).UnixMilli(), Reason: "crashed server " + server + ", blocked " + strconv.Itoa(int(s.GetBlocks())) + " times before",
		Crashes: int32(len(s.GetIncidents())),
	})
	r.putSegment(index, &wire.Segment{Name: name, Blocks: s.GetBlocks() + 1, Until: now.Add(hold).UnixMilli(), Before: s.GetBefore()})
	for _, other := range r.segments() {
		remaining := slices.DeleteFunc(slices.Clone(other.GetIncidents()), func(i *wire.Incident) bool {
			return hasIncident(s, i)
		})
		if len(remaining) < len(other.GetIncidents()) {
			r.putSegment(index, &wire.Segment{Name: other.GetName(), Incidents: remaining, Blocks: other.GetBlocks(), Until: other.GetUntil(), Before: other.GetBefore()})
		}
	}
}

// blockTime returns how long a segment is blocked that was blocked a number of times before.
func blockTime(before int32) time.Duration {
	hold := firstSegmentBlock
	for range before {
		hold = min(2*hold, maxSegmentBlock)
	}

	return hold
}

// excuseSegment removes what reports of the present outage hold against a segment, because a
// request with it was answered well shortly before. The reports are those of gateways that
// have not seen such an answer.
func (r *Registrar) excuseSegment(index uint64, now time.Time, name string) {
	s, _ := proto.Clone(r.segment(name)).(*wire.Segment)
	if s == nil {
		return
	}
	recent := func(at int64) bool { return now.UnixMilli()-at < outageWindow.Milliseconds() }
	if s.GetBlocks() > 0 && recent(s.GetUntil()-blockTime(s.GetBlocks()-1).Milliseconds()) {
		s.Blocks--
		s.Until = 0
		r.remove(index, key{parser.Digest, name})
	}
	s.Incidents = slices.DeleteFunc(s.GetIncidents(), func(i *wire.Incident) bool { return recent(i.GetTime()) })
	r.putSegment(index, s)
}

// sameCrash compares incidents of two segments, whose times differ if they were in different
// reports of a crash.
func sameCrash(a, b *wire.Incident) bool {
	const tolerance = 2 * time.Second

	return a.GetCrash() == b.GetCrash() && max(a.GetTime()-b.GetTime(), b.GetTime()-a.GetTime()) < tolerance.Milliseconds()
}

// segments returns all segments in order of name.
func (r *Registrar) segments() []*wire.Segment {
	var out []*wire.Segment
	for name := range r.objects.byKind[segmentKind] {
		if s := r.segment(name); s != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Segment) int { return cmp.Compare(a.GetName(), b.GetName()) })

	return out
}

// clearSegments removes everything that is held against segments, because requests with them
// have been answered well, and ends their blocks.
func (r *Registrar) clearSegments(index uint64, m *wire.Clear) *wire.Result {
	cleared := 0
	for _, name := range m.GetSegments() {
		if r.segment(name) == nil {
			continue
		}
		cleared++
		r.remove(index, key{segmentKind, name})
		r.remove(index, key{parser.Digest, name})
	}

	return done("%d segments are no longer suspected", cleared)
}

// forgetSegments removes segments without recent crashes.
func (r *Registrar) forgetSegments(index uint64, now time.Time) {
	for _, s := range r.segments() {
		if lastCrash(s) <= now.Add(-segmentRetention).UnixMilli() {
			r.remove(index, key{segmentKind, s.GetName()})
		}
	}
}
