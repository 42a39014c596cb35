package report

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryeweir/internal/config"
	"ryeweir/internal/experiment"
)

const experimentText = `name = "small"
question = "Does it work?"
repeats = 3
simulated = true
[[arm]]
name = "two"
kind = "two-choices"
[[arm]]
name = "any"
kind = "random"
[[day]]
name = "short & odd"
length = "4s"
`

// run runs the experiment of experimentText and returns its folder.
func run(ctx context.Context, t *testing.T, progress io.Writer) (dir string) {
	t.Helper()
	var spec experiment.Spec
	if err := config.TOML("x.toml", []byte(experimentText), &spec); err != nil {
		t.Fatal(err)
	}
	dir = filepath.Join(t.TempDir(), "out")
	if _, err := experiment.Run(ctx, &spec, "", dir, "", progress); err != nil {
		t.Fatal(err)
	}
	if err := Draw(dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The report must have its plots, need no other file, and escape the names from the specification.
func TestReportHoldsPlotsAndNeedsNoOtherFile(t *testing.T) {
	dir := run(t.Context(), t, io.Discard)
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "short &amp; odd", "two", "verdict"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("report.html has no %q", want)
		}
	}
	if strings.Contains(string(page), "src=") || strings.Contains(string(page), "href=\"http") {
		t.Error("report.html refers to other files")
	}
	plots, _ := filepath.Glob(filepath.Join(dir, "plots", "*.png"))
	if len(plots) != 5 {
		t.Errorf("plots %v", plots)
	}
}

// After an interruption, the report must hold the finished runs and say that the experiment was interrupted.
func TestReportSaysThatTheExperimentWasInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dir := run(ctx, t, writer(func(line string) {
		if strings.Contains(line, "2 of 6") {
			cancel()
		}
	}))
	if page, err := os.ReadFile(filepath.Join(dir, "report.html")); err != nil || !strings.Contains(string(page), "interrupted") {
		t.Error("report.html does not say that the experiment was interrupted")
	}
}

// writer is an io.Writer that passes each write to a function.
type writer func(string)

func (w writer) Write(p []byte) (int, error) {
	w(string(p))
	return len(p), nil
}
