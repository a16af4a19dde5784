package budgeter

import "time"

// room is how many bytes are missing for a hold to grow: in all, and among the large holds.
type room struct{ all, large int64 }

func (r room) enough() bool { return r.all <= 0 && r.large <= 0 }

// makeRoom returns the holds that must give way so that h can grow by n bytes. It returns false if
// they do not suffice. The caller must hold mu.
func (b *Budget) makeRoom(h *Hold, n int64) ([]*Hold, bool) {
	if b.s.Limit == 0 {
		return nil, true
	}
	large := b.largePart(h.bytes + n)
	missing := room{all: b.used + n - b.s.Limit}
	if large > 0 {
		missing.large = b.large - b.largePart(h.bytes) + large - b.MaxHold()
	}
	if missing.enough() {
		return nil, true
	}
	now := b.s.Clock.Now()
	var victims []*Hold
	chosen := make(map[*Hold]bool)
	for !missing.enough() {
		v := b.stalest(now, h, chosen, large > 0)
		if v == nil {
			return nil, false
		}
		chosen[v] = true
		victims = append(victims, v)
		missing.all -= v.bytes
		missing.large -= b.largePart(v.bytes)
	}

	return victims, true
}

// stalest returns the hold that gives way next to h, nil if there is none: a large one before
// small ones, and among these the one that has made no progress for longest. The caller must hold
// mu.
func (b *Budget) stalest(now time.Time, h *Hold, chosen map[*Hold]bool, onlyLarge bool) *Hold {
	var found *Hold
	for v := range b.holds {
		large := b.largePart(v.bytes) > 0
		switch {
		case v == h || v.complete || v.dropped != nil || chosen[v] || v.bytes == 0:
		case onlyLarge && !large || now.Sub(v.since) < b.s.Patience:
		case found == nil, large && b.largePart(found.bytes) == 0:
			found = v
		case large == (b.largePart(found.bytes) > 0) && v.staler(found):
			found = v
		}
	}

	return found
}

// staler reports whether h has made no progress for longer than another hold.
func (h *Hold) staler(other *Hold) bool {
	if h.since.Equal(other.since) {
		return h.number < other.number
	}

	return h.since.Before(other.since)
}
