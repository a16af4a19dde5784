package emulator

import "time"

// loadSample is the load at a point in time. Samples are kept because the load
// report shows an old load.
type loadSample struct {
	takenAt time.Time
	load    Load
}

// Load is the load report, the response to GET /load.
type Load struct {
	Total   int64   `json:"total"`
	Free    int64   `json:"free"`
	Running int     `json:"running"`
	Rate    float64 `json:"rate"`
	Role    string  `json:"role"`
}

// recordLoad adds the current load to the history and drops samples that are no
// longer needed. The caller holds mu.
func (p *process) recordLoad() {
	s := p.engine.settings
	now := time.Now()
	p.loadHistory = append(p.loadHistory, loadSample{takenAt: now, load: Load{
		Total: s.Pieces, Free: s.Pieces - p.heldBlocks, Running: len(p.runningJobs()),
		Rate: p.roleRate(), Role: p.engine.role,
	}})
	for len(p.loadHistory) > 1 && now.Sub(p.loadHistory[1].takenAt) > s.LoadReportDelay {
		p.loadHistory = p.loadHistory[1:]
	}
}

// delayedLoad returns the load of LoadReportDelay ago, but with the current role.
// The caller holds mu.
func (p *process) delayedLoad() Load {
	s := p.engine.settings
	load := Load{Total: s.Pieces, Free: s.Pieces, Rate: p.roleRate(), Role: p.engine.role}
	for _, sample := range p.loadHistory {
		if time.Since(sample.takenAt) < s.LoadReportDelay {
			break
		}
		load = sample.load
	}
	load.Role = p.engine.role

	return load
}

func (p *process) roleRate() float64 {
	if p.engine.role == statePrefill {
		return p.engine.settings.PrefillRate
	}

	return p.engine.settings.DecodeRate
}
