// Package configurer defines the settings of each role. They come from flags
// and environment variables, and every fault in them is reported at once.
package configurer

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// envPrefix precedes the upper-case flag name in an environment variable.
const envPrefix = "DAMASK_"

// Option is one setting. Its value is kept as text until the role's settings
// are read, so that a malformed value does not hide the other faults.
type Option struct {
	name  string
	value string
	usage string
}

// Name returns the flag's name without dashes.
func (o Option) Name() string { return o.name }

// Env returns the name of the environment variable.
func (o Option) Env() string { return envName(o.name) }

// Value returns the default as text.
func (o Option) Value() string { return o.value }

// Usage returns the one-line description.
func (o Option) Usage() string { return o.usage }

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags turns options into command-line flags with their environment variables.
func Flags(options []Option) []cli.Flag {
	flags := make([]cli.Flag, 0, len(options))
	for _, o := range options {
		flags = append(flags, &cli.StringFlag{
			Name:    o.name,
			Value:   o.value,
			Usage:   o.usage,
			Sources: cli.EnvVars(o.Env()),
		})
	}

	return flags
}

// common are the options of every role. ops is the default operations address.
func common(ops string) []Option {
	return []Option{
		{"name", "", "name of this process, unique among all; letters, digits, dots and dashes"},
		{"region", "", "region of this host"},
		{"centre", "", "data centre of this host"},
		{"ops", ops, "ip:port for health, readiness, metrics and the state dump"},
		{"control", "", "ip:port of each control host, separated by commas"},
		{"level", "info", "lowest level that is logged: debug, info, warn or error"},
	}
}
