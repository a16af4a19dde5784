package main

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/configurer"
)

// Guards against an agent that ignores its drain setting.
func TestAgentDrainSetting(t *testing.T) {
	for name, test := range map[string]struct{ drain, want time.Duration }{
		"one minute": {time.Minute, time.Minute},
		"none":       {0, minAgentDrain},
	} {
		t.Run(name, func(t *testing.T) {
			if got := agentSettings(configurer.Agent{Drain: test.drain}).DrainTimeout; got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
