// Package testrunner runs the tests of a package with a fixed seed for its property
// tests, so that every run without other settings is the same.
package testrunner

import (
	"flag"
	"os"
)

// flagVariables maps the flags of the property tests to the environment variables
// that set them. A longer run: DAMASK_SCHEDULES=20000 DAMASK_SEED=7 go test
// -timeout 0 ./internal/replicator.
var flagVariables = map[string]string{
	"rapid.seed":   "DAMASK_SEED",
	"rapid.checks": "DAMASK_SCHEDULES",
	"rapid.steps":  "DAMASK_STEPS",
}

// Run sets the flags of the property tests, runs the tests and exits with their
// status. The values are the defaults of the package by flag name. Flags on the
// command line override them, and environment variables override both. The seed is
// 1 unless a flag or an environment variable sets it.
func Run(m interface{ Run() int }, values map[string]string) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.nofailfile", "true")
	for name, value := range values {
		setDefault(name, value)
	}
	for name, variable := range flagVariables {
		if value := os.Getenv(variable); value != "" {
			mustSet(name, value)
		}
	}
	os.Exit(m.Run())
}

// setDefault sets a flag unless it is set already, as by the command line.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		mustSet(name, value)
	}
}

// mustSet sets a flag. It panics if the package has no property tests, and so no such
// flag, or if the value is malformed.
func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
