// Package configurer defines the settings of each role and reads them from flags and
// environment variables. It reports all invalid settings at once.
package configurer

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of environment variables; the flag's name in upper case follows.
const envPrefix = "DAMASK_"

// Option describes a setting. Values remain text until the settings of the role are read,
// so that a malformed value does not hide other invalid settings.
type Option struct {
	name  string
	value string
	usage string
}

// Name returns the flag's name without dashes.
func (o Option) Name() string { return o.name }

// Env returns the name of the environment variable.
func (o Option) Env() string { return envName(o.name) }

// Value returns the default value as text.
func (o Option) Value() string { return o.value }

// Usage returns the one-line description.
func (o Option) Usage() string { return o.usage }

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags returns the command-line flags of options, with their environment variables.
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

// commonOptions returns the options of all roles. ops is the default operations address.
func commonOptions(ops string) []Option {
	return []Option{
		{"name", "", "name of this process, unique among all; letters, digits, dots and dashes"},
		{"region", "", "region of this host"},
		{"centre", "", "data centre of this host"},
		{"ops", ops, "ip:port for health, readiness, metrics and the state dump"},
		{"control", "", "ip:port of each control host, separated by commas"},
		{"level", "info", "lowest level that is logged: debug, info, warn or error"},
		{"memory", "", "bytes of memory that the process may use; that of the host or its control group if empty"},
	}
}
