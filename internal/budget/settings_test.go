package budget

import (
	"strings"
	"testing"
)

// The error of New must name each setting that is out of range.
func TestCheckNamesEachBadSetting(t *testing.T) {
	bad := Defaults()
	bad.MinServedFraction, bad.Agents = 1, 0
	_, err := New(bad)
	if err == nil || !strings.Contains(err.Error(), "keep") || !strings.Contains(err.Error(), "agents") {
		t.Errorf("%v", err)
	}
}
