// Package seeder runs the tests of a package with fixed seeds for its random
// schedules, so that a normal run is the same each time.
package seeder

import (
	"flag"
	"os"
)

// Environment variables of longer runs: DAMASK_SCHEDULES=20000 DAMASK_SEED=7
// go test -timeout 0 ./internal/replicator.
var variables = map[string]string{
	"rapid.seed":   "DAMASK_SEED",
	"rapid.checks": "DAMASK_SCHEDULES",
	"rapid.steps":  "DAMASK_STEPS",
}

// Run sets the flags of the property tests, runs the tests and ends the process
// with their status. The values, by flag name, come first; a flag of the command
// line and an environment variable go before them. The seed is 1 unless given.
func Run(m interface{ Run() int }, values map[string]string) {
	flag.Parse()
	set("rapid.seed", "1")
	set("rapid.nofailfile", "true")
	for name, value := range values {
		set(name, value)
	}
	for name, variable := range variables {
		if value := os.Getenv(variable); value != "" {
			override(name, value)
		}
	}
	os.Exit(m.Run())
}

// set changes a flag that the command line leaves at its default.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		override(name, value)
	}
}

func override(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package has no property tests, or the value is malformed
	}
}
