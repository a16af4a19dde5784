package parser

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Unit tells how the values of a field are written and compared.
type Unit int

const (
	// Text is any string.
	Text Unit = iota
	// Number is a whole number.
	Number
	// Millis is a duration kept in milliseconds, written "75ms" or "2s".
	Millis
	// Seconds is a duration kept in seconds, written "90s" or "24h".
	Seconds
	// Percent is a whole percentage, written "20%" or "20".
	Percent
	// Bytes is a size, written "4096", "64KiB" or "8MiB".
	Bytes
	// Flag is "yes" or "no".
	Flag
	// Time is a point in time kept in Unix milliseconds, written as RFC 3339.
	Time
	// List is a list of words, written with commas.
	List
	// Type is a kind of service, "model" or "plain".
	Type
	// Routes is a list of "METHOD /prefix idempotent" or "METHOD /prefix once".
	Routes
	// Orders is a list of engine orders; operators cannot set it.
	Orders
)

var units = map[Unit]string{
	Text: "a text", Number: "a whole number", Millis: "a duration like 75ms or 2s",
	Seconds: "a duration like 90s or 24h", Percent: "a percentage like 20%",
	Bytes: "a size like 4096, 64KiB or 8MiB", Flag: "yes or no",
	Time: "a time like 2026-01-02T15:04:05Z", List: "words separated by commas",
	Type: "model or plain", Routes: `routes like "GET /roster idempotent, POST /slots once"`,
	Orders: "engine orders",
}

// String describes a value of the unit, for error messages.
func (u Unit) String() string { return units[u] }

var sizes = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// Integer reads a value of a unit that is kept as an integer.
func Integer(u Unit, text string) (int64, error) {
	switch u {
	case Number:
		return whole(u, text)
	case Percent:
		return whole(u, strings.TrimSuffix(text, "%"))
	case Millis:
		return duration(u, text, time.Millisecond)
	case Seconds:
		return duration(u, text, time.Second)
	case Bytes:
		return size(text)
	case Flag:
		return flag(text)
	case Time:
		return instant(text)
	default:
		return 0, errors.Newf("%q is not a number", text)
	}
}

func whole(u Unit, text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, u)
	}

	return n, nil
}

func duration(u Unit, text string, unit time.Duration) (int64, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, u)
	}
	if d%unit != 0 {
		return 0, errors.Newf("%q is not a multiple of %s", text, unit)
	}

	return int64(d / unit), nil
}

func size(text string) (int64, error) {
	scale := int64(1)
	digits := text
	for _, s := range sizes {
		if cut, ok := strings.CutSuffix(text, s.suffix); ok {
			digits, scale = cut, s.bytes

			break
		}
	}
	n, err := whole(Bytes, digits)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, Bytes)
	}
	if n > math.MaxInt64/scale || n < math.MinInt64/scale {
		return 0, errors.Newf("%q is too large", text)
	}

	return n * scale, nil
}

func flag(text string) (int64, error) {
	switch text {
	case "yes", "true":
		return 1, nil
	case "no", "false":
		return 0, nil
	default:
		return 0, errors.Newf("%q is not %s", text, Flag)
	}
}

func instant(text string) (int64, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, errors.Newf("%q is not %s", text, Time)
	}

	return t.UnixMilli(), nil
}

// FormatInteger writes a value so that Integer reads it back.
func FormatInteger(u Unit, n int64) string {
	switch u {
	case Percent:
		return strconv.FormatInt(n, 10) + "%"
	case Millis:
		return formatDuration(n, time.Millisecond, "ms")
	case Seconds:
		return formatDuration(n, time.Second, "s")
	case Bytes:
		for _, s := range sizes {
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

// Compare orders two values of a unit: -1, 0 or 1. A cell that is empty comes
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
	x, err := Integer(u, a)
	if err != nil {
		return 0, err
	}
	y, err := Integer(u, b)
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
