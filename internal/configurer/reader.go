package configurer

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Source gives the text of a setting by flag name; *cli.Command is one.
type Source interface {
	String(name string) string
}

// Fault is one invalid setting.
type Fault struct {
	flag   string
	reason string
}

// Flag returns the name of the flag without dashes.
func (f Fault) Flag() string { return f.flag }

// String returns one line that names the flag and the environment variable.
func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s): %s", f.flag, envName(f.flag), f.reason)
}

// Faults are all invalid settings of a role.
type Faults []Fault

// Err returns nil without faults, otherwise one error on one line.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}

	return errors.Newf("invalid settings: %s", strings.Join(lines, "; "))
}

// reader parses the values of one role and collects the faults.
type reader struct {
	source Source
	faults Faults
}

func (r *reader) fail(flag, format string, args ...any) {
	r.faults = append(r.faults, Fault{flag: flag, reason: fmt.Sprintf(format, args...)})
}

func (r *reader) text(flag string) string {
	return strings.TrimSpace(r.source.String(flag))
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// word reads a required name.
func (r *reader) word(flag string) string {
	text := r.text(flag)
	switch {
	case text == "":
		r.fail(flag, "is required")
	case !namePattern.MatchString(text):
		r.fail(flag, "%q is not a name: use at most 63 letters, digits, dots, dashes and underscores", text)
	}

	return text
}

// choice reads one of the allowed words.
func (r *reader) choice(flag string, allowed ...string) string {
	text := r.text(flag)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	r.fail(flag, "%q is not one of %s", text, strings.Join(allowed, ", "))

	return text
}

// address reads "ip:port". Host names are not accepted, because the processes
// address each other by IP number.
func (r *reader) address(flag string) string {
	text := r.text(flag)
	if text == "" {
		r.fail(flag, "is required")

		return ""
	}
	r.checkAddress(flag, text)

	return text
}

func (r *reader) checkAddress(flag, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.fail(flag, "%q is not an ip:port", text)
	}
}

// addresses reads a comma-separated list with at least one element.
func (r *reader) addresses(flag string) []string {
	text := r.text(flag)
	if text == "" {
		r.fail(flag, "is required")

		return nil
	}
	list := strings.Split(text, ",")
	for i, item := range list {
		list[i] = strings.TrimSpace(item)
		r.checkAddress(flag, list[i])
	}

	return list
}

// positive reads a whole number from 1 to high.
func (r *reader) positive(flag string, high int64) int64 {
	text := r.text(flag)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.fail(flag, "%q is not a whole number", text)

		return 1
	}
	if n < 1 || n > high {
		r.fail(flag, "%d is not between 1 and %d", n, high)
	}

	return n
}

func (r *reader) duration(flag string, low, high time.Duration) time.Duration {
	text := r.text(flag)
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fail(flag, "%q is not a duration such as 500ms or 30s", text)

		return low
	}
	if d < low || d > high {
		r.fail(flag, "%s is not between %s and %s", d, low, high)
	}

	return d
}

// members reads "id=ip:port" pairs separated by commas.
func (r *reader) members(flag string) map[uint64]string {
	members := make(map[uint64]string)
	for pair := range strings.SplitSeq(r.text(flag), ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		id, addr, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil || n == 0 {
			r.fail(flag, "%q is not id=ip:port with an id from 1", pair)

			continue
		}
		if _, ok := members[n]; ok {
			r.fail(flag, "id %d is given twice", n)
		}
		r.checkAddress(flag, addr)
		members[n] = addr
	}

	return members
}
