package configurer

import "math"

// Control holds the settings of a control process.
type Control struct {
	Process
	Listen  string // ip:port for entries, agents, operators and other control hosts
	Data    string // data directory
	ID      uint64
	Members map[uint64]string // ip:port of the initial members by id
	Join    bool
}

// ControlOptions returns the options of the control role.
func ControlOptions() []Option {
	options := []Option{}
	for _, o := range commonOptions("127.0.0.1:9070") {
		if o.name != "control" {
			options = append(options, o)
		}
	}

	return append(options,
		Option{"listen", "127.0.0.1:7070", "ip:port for all other processes"},
		Option{"data", "", "data directory; everything that must survive is kept there"},
		Option{"id", "", "number of this control host, never used again after its data is lost"},
		Option{"members", "", "initial control hosts as id=ip:port, separated by commas; empty for a single one"},
		Option{"join", "false", "true: wait to be added to running control hosts"},
	)
}

// ReadControl reads the settings of a control process. It returns all invalid settings.
func ReadControl(source Source) (Control, InvalidSettings) {
	r := &settingsReader{source: source}
	c := Control{
		Process: r.process(false),
		Listen:  r.address("listen"),
		Data:    r.text("data"),
		ID:      uint64(r.positiveInt("id", math.MaxInt64)),
		Members: r.members("members"),
		Join:    r.choice("join", "true", "false") == "true",
	}
	if c.Data == "" {
		r.addInvalid("data", "is required")
	}
	switch {
	case c.Join && len(c.Members) > 0:
		r.addInvalid("members", "must be empty with --join, because the running control hosts name the members")
	case !c.Join && len(c.Members) == 0:
		c.Members[c.ID] = c.Listen
	case !c.Join && c.Members[c.ID] == "":
		r.addInvalid("members", "does not name id %d", c.ID)
	}

	return c, r.invalid
}
