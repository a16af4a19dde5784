package main

import (
	"bytes"
	"os"
	"testing"
)

// Guards against a settings page that differs from the settings that the program accepts.
func TestSettingsPage(t *testing.T) {
	var page bytes.Buffer
	if err := writePage(&page); err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(committed), page.String(); got != want {
		t.Errorf("docs/operators/settings.md differs from `damasklever check page`:\ngot  %q\nwant %q", got, want)
	}
}
