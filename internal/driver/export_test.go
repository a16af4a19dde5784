package driver

import "github.com/damasklever/damasklever/internal/timer"

// SetClock replaces the clock of the watchdogs.
func (c *Client) SetClock(t timer.Service) { c.clock = t }
