package pool

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// Validate must name the settings that it does not accept, with their values, and its error must wrap the rule that they break.
func TestValidateNamesSettings(t *testing.T) {
	for want, test := range map[string]struct {
		spoil func(*Settings)
		rule  error
	}{
		"MaxPerEndpoint 0":           {func(s *Settings) { s.MaxPerEndpoint = 0 }, errNoCapacity},
		"Quarantine -1s":             {func(s *Settings) { s.Quarantine = -time.Second }, errQuarantine},
		"MinIdleLimit 0s":            {func(s *Settings) { s.MinIdleLimit = 0 }, errDuration},
		"IdleFraction 1.5":           {func(s *Settings) { s.IdleFraction = 1.5 }, errFraction},
		"AgeJitter 2":                {func(s *Settings) { s.AgeJitter = 2 }, errFraction},
		"PreopenRate -1":             {func(s *Settings) { s.PreopenRate = -1 }, errLimit},
		"Agents 0":                   {func(s *Settings) { s.Agents = 0 }, errSlowStart},
		"SlowStartInitialFraction 0": {func(s *Settings) { s.SlowStartWindow = time.Second }, errSlowStart},
	} {
		settings := DefaultSettings(40)
		if err := settings.Validate(); err != nil {
			t.Fatal(err)
		}
		test.spoil(&settings)
		if err := settings.Validate(); !errors.Is(err, test.rule) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want an error that wraps %q and contains %q", err, test.rule, want)
		}
	}
}

// The errors of Get name the endpoint and wrap their sentinels. A nil endpoint has no name.
func TestGetErrorsNameTheEndpoint(t *testing.T) {
	endpoint := &Endpoint{ID: "s-1"}
	for reason, want := range map[RejectReason]error{RejectNotReady: ErrNotReady, RejectCapacity: ErrExhausted, RejectConnectFailed: ErrConnectFailed} {
		if err := rejectError(reason, endpoint); !errors.Is(err, want) || !strings.Contains(err.Error(), "s-1") {
			t.Errorf("got %v, want an error that wraps %q and names the endpoint", err, want)
		}
	}
	if err := rejectError(RejectNotReady, nil); !errors.Is(err, ErrNotReady) {
		t.Errorf("got %v, want %v", err, ErrNotReady)
	}
}
