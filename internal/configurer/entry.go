package configurer

import "time"

const (
	maxLinger = 10 * time.Minute
	maxDrain  = time.Hour
	maxBody   = 64 << 20 // bytes

	// minMemory is enough for a process without load, and minBodies the number of bodies of
	// the maximum size for which an entry must have memory.
	minMemory = 64 << 20 // bytes
	minBodies = 16
)

// Process holds the settings that all roles have in common.
type Process struct {
	Name, Region, Centre string
	Ops                  string   // ip:port of the operations address
	Control              []string // ip:port of each control host; empty for a control process
	Level                string
	Memory               int64 // bytes that the process may use, 0 if not set
}

func (r *settingsReader) process(withControl bool) Process {
	p := Process{
		Name:   r.requiredName("name"),
		Region: r.requiredName("region"),
		Centre: r.requiredName("centre"),
		Ops:    r.address("ops"),
		Level:  r.choice("level", "debug", "info", "warn", "error"),
		Memory: r.memory("memory"),
	}
	if withControl {
		p.Control = r.addresses("control")
	}

	return p
}

// Entry holds the settings of an entry process.
type Entry struct {
	Process
	Listen  string        // ip:port for callers
	MaxBody int64         // maximum size of a request body in bytes
	Linger  time.Duration // how long new requests are accepted after a shutdown signal
	Drain   time.Duration // longest wait for requests in flight at a shutdown
}

// EntryOptions returns the options of the entry role.
func EntryOptions() []Option {
	return append(commonOptions("127.0.0.1:9080"),
		Option{"listen", "127.0.0.1:8080", "ip:port for callers"},
		Option{"body", "4194304", "most bytes of a request body"},
		Option{"linger", "5s", "time after a shutdown signal in which new requests are still accepted, for the balancer to notice"},
		Option{"drain", "5m", "longest wait for requests in flight at a shutdown; they are answered up to 1 s before its end"},
	)
}

// ReadEntry reads the settings of an entry. It returns all invalid settings.
func ReadEntry(source Source) (Entry, InvalidSettings) {
	r := &settingsReader{source: source}
	e := Entry{
		Process: r.process(true),
		Listen:  r.address("listen"),
		MaxBody: r.positiveInt("body", maxBody),
		Linger:  r.duration("linger", 0, maxLinger),
		Drain:   r.duration("drain", 0, maxDrain),
	}
	if e.Memory > 0 && e.Memory < minBodies*e.MaxBody {
		r.addInvalid("memory", "%d is less than %d times --body", e.Memory, minBodies)
	}

	return e, r.invalid
}
