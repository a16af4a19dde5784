package driver

import "github.com/damasklever/damasklever/internal/timer"

// SetClock sets the clock used for stall and silence timeouts.
func (c *Client) SetClock(t timer.Service) { c.clock = t }
