package configurer

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Source returns the text of a setting by the name of its flag. *cli.Command implements it.
type Source interface {
	String(name string) string
}

// InvalidSetting describes an invalid setting.
type InvalidSetting struct {
	flag   string
	reason string
}

// Flag returns the name of the flag without dashes.
func (f InvalidSetting) Flag() string { return f.flag }

// String returns one line with the flag, the environment variable and the reason.
func (f InvalidSetting) String() string {
	return fmt.Sprintf("--%s (%s): %s", f.flag, envName(f.flag), f.reason)
}

// InvalidSettings is the list of all invalid settings of a role.
type InvalidSettings []InvalidSetting

// Err returns nil if there are no invalid settings, otherwise one error with a one-line message.
func (f InvalidSettings) Err() error {
	if len(f) == 0 {
		return nil
	}
	lines := make([]string, len(f))
	for i, setting := range f {
		lines[i] = setting.String()
	}

	return errors.Newf("invalid settings: %s", strings.Join(lines, "; "))
}

// settingsReader parses the settings of one role and collects the invalid ones.
type settingsReader struct {
	source  Source
	invalid InvalidSettings
}

func (r *settingsReader) addInvalid(flag, format string, args ...any) {
	r.invalid = append(r.invalid, InvalidSetting{flag: flag, reason: fmt.Sprintf(format, args...)})
}

func (r *settingsReader) text(flag string) string {
	return strings.TrimSpace(r.source.String(flag))
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// requiredName reads a name that must not be empty.
func (r *settingsReader) requiredName(flag string) string {
	text := r.text(flag)
	switch {
	case text == "":
		r.addInvalid(flag, "is required")
	case !namePattern.MatchString(text):
		r.addInvalid(flag, "%q is not a name: use at most 63 letters, digits, dots, dashes and underscores", text)
	}

	return text
}

// choice reads a setting whose value must be one of allowed.
func (r *settingsReader) choice(flag string, allowed ...string) string {
	text := r.text(flag)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	r.addInvalid(flag, "%q is not one of %s", text, strings.Join(allowed, ", "))

	return text
}

// address reads "ip:port". Host names are rejected, because processes address each other
// by IP address.
func (r *settingsReader) address(flag string) string {
	text := r.text(flag)
	if text == "" {
		r.addInvalid(flag, "is required")

		return ""
	}
	r.checkAddress(flag, text)

	return text
}

func (r *settingsReader) checkAddress(flag, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.addInvalid(flag, "%q is not an ip:port", text)
	}
}

// addresses reads a comma-separated list of at least one "ip:port".
func (r *settingsReader) addresses(flag string) []string {
	text := r.text(flag)
	if text == "" {
		r.addInvalid(flag, "is required")

		return nil
	}
	list := strings.Split(text, ",")
	for i, item := range list {
		list[i] = strings.TrimSpace(item)
		r.checkAddress(flag, list[i])
	}

	return list
}

// positiveInt reads an integer from 1 to high.
func (r *settingsReader) positiveInt(flag string, high int64) int64 {
	text := r.text(flag)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addInvalid(flag, "%q is not a whole number", text)

		return 1
	}
	if n < 1 || n > high {
		r.addInvalid(flag, "%d is not between 1 and %d", n, high)
	}

	return n
}

// memory reads a number of bytes, or 0 if there is none.
func (r *settingsReader) memory(flag string) int64 {
	if r.text(flag) == "" {
		return 0
	}
	n := r.positiveInt(flag, math.MaxInt64)
	if n < minMemory {
		r.addInvalid(flag, "%d is less than %d", n, minMemory)
	}

	return n
}

func (r *settingsReader) duration(flag string, low, high time.Duration) time.Duration {
	text := r.text(flag)
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addInvalid(flag, "%q is not a duration such as 500ms or 30s", text)

		return low
	}
	if d < low || d > high {
		r.addInvalid(flag, "%s is not between %s and %s", d, low, high)
	}

	return d
}

// members reads "id=ip:port" pairs separated by commas.
func (r *settingsReader) members(flag string) map[uint64]string {
	members := make(map[uint64]string)
	for pair := range strings.SplitSeq(r.text(flag), ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		id, addr, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil || n == 0 {
			r.addInvalid(flag, "%q is not id=ip:port with an id from 1", pair)

			continue
		}
		if _, ok := members[n]; ok {
			r.addInvalid(flag, "id %d is given twice", n)
		}
		r.checkAddress(flag, addr)
		members[n] = addr
	}

	return members
}
