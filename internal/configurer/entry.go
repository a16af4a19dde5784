package configurer

import "time"

const (
	maxLinger = 10 * time.Minute
	maxDrain  = time.Hour
	maxBody   = 64 << 20 // bytes
)

// Process is what every role has in common.
type Process struct {
	Name, Region, Centre string
	Ops                  string   // ip:port
	Control              []string // ip:port each
	Level                string
}

func (r *reader) process(withControl bool) Process {
	p := Process{
		Name:   r.word("name"),
		Region: r.word("region"),
		Centre: r.word("centre"),
		Ops:    r.address("ops"),
		Level:  r.choice("level", "debug", "info", "warn", "error"),
	}
	if withControl {
		p.Control = r.addresses("control")
	}

	return p
}

// Entry holds the settings of an entry process.
type Entry struct {
	Process
	Listen string        // ip:port for callers
	Body   int64         // most bytes of a request body
	Linger time.Duration // accepts callers this long after the shutdown began
	Drain  time.Duration // waits this long for requests in flight
}

// EntryOptions returns the options of the entry role.
func EntryOptions() []Option {
	return append(common("127.0.0.1:9080"),
		Option{"listen", "127.0.0.1:8080", "ip:port for callers"},
		Option{"body", "4194304", "most bytes of a request body"},
		Option{"linger", "5s", "time after a shutdown signal in which new requests are still accepted, for the balancer to notice"},
		Option{"drain", "5m", "longest wait for requests in flight at a shutdown"},
	)
}

// ReadEntry reads the settings of an entry and returns every fault.
func ReadEntry(source Source) (Entry, Faults) {
	r := &reader{source: source}
	e := Entry{
		Process: r.process(true),
		Listen:  r.address("listen"),
		Body:    r.positive("body", maxBody),
		Linger:  r.duration("linger", 0, maxLinger),
		Drain:   r.duration("drain", 0, maxDrain),
	}

	return e, r.faults
}
