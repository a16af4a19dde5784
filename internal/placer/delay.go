package placer

import "time"

// distanceDelay estimates the network delay between this process and a server.
func (p *Placer) distanceDelay(s *Server) time.Duration {
	switch {
	case s.Centre == p.s.Centre:
		return 0
	case s.Region == p.s.Region:
		return p.s.NearDelay
	default:
		return p.s.FarDelay
	}
}

// transferDelay estimates the time to move a processed prompt between two servers.
func (p *Placer) transferDelay(from, to *Server) time.Duration {
	switch {
	case from.Centre == to.Centre:
		return p.s.TransferDelay
	case from.Region == to.Region:
		return p.s.TransferDelay * nearTransferFactor
	default:
		return p.s.TransferDelay * farTransferFactor
	}
}

// readDuration returns the time to process a prompt at a rate in tokens per millisecond.
func (p *Placer) readDuration(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// remaining returns the time left until deadline, 0 if it has passed.
func remaining(now, deadline time.Time) time.Duration { return max(deadline.Sub(now), 0) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
