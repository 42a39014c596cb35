package event

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The page for the engineer on call sends its reader to events, reasons and files. One that was renamed leaves the reader with nothing to
// grep for at night. Each that the page names in backticks must exist.
func TestOnCallPageNamesWhatExists(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "oncall.md"))
	if err != nil {
		t.Fatal(err)
	}
	quoted := regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(string(page), -1)
	files := 0
	for _, match := range quoted {
		text := match[1]
		for _, reason := range regexp.MustCompile(`reason=([a-z_]+)`).FindAllStringSubmatch(text, -1) {
			if !slices.Contains(reasonNames[:], reason[1]) {
				t.Errorf("no event has the reason %q", reason[1])
			}
		}
		first, rest, _ := strings.Cut(text, " ")
		if regexp.MustCompile(`^[a-z]+_[a-z]+$`).MatchString(first) && strings.HasPrefix(rest, "reason=") && !slices.Contains(kindNames[:], first) {
			t.Errorf("no event is called %q", first)
		}
		if regexp.MustCompile(`^(logic|internal|cmd|deploy)/`).MatchString(text) {
			files++
			if _, err := os.Stat(filepath.Join(root, text)); err != nil {
				t.Errorf("the page names a file that is not there: %v", err)
			}
		}
	}
	if files < 20 {
		t.Errorf("only %d files were found on the page: is the test reading it right?", files)
	}
}
