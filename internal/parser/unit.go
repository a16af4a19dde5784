package parser

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Unit determines how the values of a field are written, parsed and compared.
type Unit int

const (
	// Text is an arbitrary string.
	Text Unit = iota
	// Number is a whole number.
	Number
	// Millis is a duration stored in milliseconds, written "75ms" or "2s".
	Millis
	// Seconds is a duration stored in seconds, written "90s" or "24h".
	Seconds
	// Percent is a whole percentage, written "20%" or "20".
	Percent
	// Bytes is a size, written "4096", "64KiB" or "8MiB".
	Bytes
	// Flag is "yes" or "no".
	Flag
	// Time is a time stored in Unix milliseconds, written as in RFC 3339.
	Time
	// List is a list of words separated by commas.
	List
	// ServiceKind is the kind of a service, "model" or "plain".
	ServiceKind
	// Routes is a list of "METHOD /prefix idempotent" or "METHOD /prefix once".
	Routes
	// Orders is a list of engine orders. Operators cannot set it.
	Orders
)

var unitDescriptions = map[Unit]string{
	Text: "a text", Number: "a whole number", Millis: "a duration like 75ms or 2s",
	Seconds: "a duration like 90s or 24h", Percent: "a percentage like 20%",
	Bytes: "a size like 4096, 64KiB or 8MiB", Flag: "yes or no",
	Time: "a time like 2026-01-02T15:04:05Z", List: "words separated by commas",
	ServiceKind: "model or plain", Routes: `routes like "GET /roster idempotent, POST /slots once"`,
	Orders: "engine orders",
}

// String describes the values of the unit in error messages.
func (u Unit) String() string { return unitDescriptions[u] }

var sizeSuffixes = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// ParseInteger parses a value of a unit that is stored as an integer.
func ParseInteger(u Unit, text string) (int64, error) {
	switch u {
	case Number:
		return parseWhole(u, text)
	case Percent:
		return parseWhole(u, strings.TrimSuffix(text, "%"))
	case Millis:
		return parseDuration(u, text, time.Millisecond)
	case Seconds:
		return parseDuration(u, text, time.Second)
	case Bytes:
		return parseSize(text)
	case Flag:
		return parseFlag(text)
	case Time:
		return parseTime(text)
	default:
		return 0, errors.Newf("%q is not a number", text)
	}
}

func parseWhole(u Unit, text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, u)
	}

	return n, nil
}

func parseDuration(u Unit, text string, unit time.Duration) (int64, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, u)
	}
	if d%unit != 0 {
		return 0, errors.Newf("%q is not a multiple of %s", text, unit)
	}

	return int64(d / unit), nil
}

func parseSize(text string) (int64, error) {
	scale := int64(1)
	digits := text
	for _, s := range sizeSuffixes {
		if cut, ok := strings.CutSuffix(text, s.suffix); ok {
			digits, scale = cut, s.bytes

			break
		}
	}
	n, err := parseWhole(Bytes, digits)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, Bytes)
	}
	if n > math.MaxInt64/scale || n < math.MinInt64/scale {
		return 0, errors.Newf("%q is too large", text)
	}

	return n * scale, nil
}

func parseFlag(text string) (int64, error) {
	switch text {
	case "yes", "true":
		return 1, nil
	case "no", "false":
		return 0, nil
	default:
		return 0, errors.Newf("%q is not %s", text, Flag)
	}
}

func parseTime(text string) (int64, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, Time)
	}

	return t.UnixMilli(), nil
}

// FormatInteger returns a value as text that parses back to the same value.
func FormatInteger(u Unit, n int64) string {
	switch u {
	case Percent:
		return strconv.FormatInt(n, 10) + "%"
	case Millis:
		return formatDuration(n, time.Millisecond, "ms")
	case Seconds:
		return formatDuration(n, time.Second, "s")
	case Bytes:
		for _, s := range sizeSuffixes {
			if n != 0 && n%s.bytes == 0 {
				return strconv.FormatInt(n/s.bytes, 10) + s.suffix
			}
		}
	case Flag:
		if n != 0 {
			return "yes"
		}

		return "no"
	case Time:
		return time.UnixMilli(n).UTC().Format("2006-01-02T15:04:05.999Z07:00")
	default:
	}

	return strconv.FormatInt(n, 10)
}

func formatDuration(n int64, unit time.Duration, suffix string) string {
	if n > math.MaxInt64/int64(unit) || n < math.MinInt64/int64(unit) {
		return strconv.FormatInt(n, 10) + suffix
	}
	text := (time.Duration(n) * unit).String()
	if cut, ok := strings.CutSuffix(text, "m0s"); ok {
		text = cut + "m"
	}
	if cut, ok := strings.CutSuffix(text, "h0m"); ok {
		text = cut + "h"
	}

	return text
}

// Compare returns -1, 0 or 1 for the order of two values of a unit. An empty value comes
// before all others.
func Compare(u Unit, a, b string) (int, error) {
	switch u {
	case Number, Millis, Seconds, Percent, Bytes, Flag, Time:
	default:
		return strings.Compare(a, b), nil
	}
	if a == "" || b == "" {
		return strings.Compare(a, b), nil
	}
	x, err := ParseInteger(u, a)
	if err != nil {
		return 0, err
	}
	y, err := ParseInteger(u, b)
	if err != nil {
		return 0, err
	}
	switch {
	case x < y:
		return -1, nil
	case x > y:
		return 1, nil
	default:
		return 0, nil
	}
}
