package logic

import (
	"errors"
	"testing"
)

// For each setting that is out of range, the error of New must name the setting.
func TestInvalidSettingsGiveSettingsError(t *testing.T) {
	for _, c := range []struct {
		setting    string
		invalidate func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{`Classes["cheap"].LatencyObjective`, func(s *Settings) { s.Classes[cheapClass].LatencyObjective = 0 }},
		{`Classes["cheap"].Timeout`, func(s *Settings) { s.Classes[cheapClass].Timeout = 0 }},
		{`Classes["keyed"].IdempotencyWindow`, func(s *Settings) { s.Classes[keyedClass].IdempotencyWindow = 0 }},
		{"MaxAttempts", func(s *Settings) { s.MaxAttempts = 0 }},
		{"SlowStartInitialFraction", func(s *Settings) { s.SlowStartInitialFraction = 0 }},
		{"TenantQuotas[1]", func(s *Settings) { s.TenantQuotas = []float64{1, 2} }},
		{"OverQuotaWeight", func(s *Settings) { s.OverQuotaWeight = 2 }},
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"MaxPollInterval", func(s *Settings) { s.MaxPollInterval = -1 }},
		{"MaxPollRetryInterval", func(s *Settings) { s.MaxPollRetryInterval = -1 }},
		{"SlowStartOverloadFactor", func(s *Settings) { s.SlowStartOverloadFactor = -1 }},
	} {
		settings := testSettings()
		c.invalidate(&settings)
		_, err := New(settings, 1)
		var invalid *SettingsError
		if !errors.As(err, &invalid) || invalid.Setting != c.setting {
			t.Errorf("error for the setting %s: %v", c.setting, err)
		}
	}
}
