package testkit

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pages are the documentation pages whose file paths and identifiers must exist in the source.
var pages = []string{
	"README.md", "DEVELOPERS.md",
	"docs/architecture.md", "docs/connections.md", "docs/decisions.md", "docs/emulator.md", "docs/experiments.md", "docs/fleet.md",
	"docs/glossary.md", "docs/oncall.md", "docs/operating.md", "docs/overload.md", "docs/promises.md", "docs/replication.md", "docs/soak.md",
}

// Documentation must follow renames of files, types and tests. On each page, every path in backticks under logic, internal, cmd, deploy
// or docs must exist, and so must every exported name in backticks with its package (`core.Call`) and every test that is named.
func TestPagesNameFilesAndTypesThatExist(t *testing.T) {
	root := filepath.Join("..", "..")
	sources := packageSources(t, root)
	tests := testNames(t, root)
	isPath := regexp.MustCompile(`^(logic|internal|cmd|deploy|docs)/[\w./-]+$`)
	isName := regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.(\w+))?$`)
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, test := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(text), -1) {
			if !tests[test] {
				t.Errorf("%s names the test %s, which does not exist", page, test)
			}
		}
		for _, match := range regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(string(text), -1) {
			quoted := match[1]
			if isPath.MatchString(quoted) {
				if _, err := os.Stat(filepath.Join(root, quoted)); err != nil {
					t.Errorf("%s names %s, which does not exist", page, quoted)
				}
				continue
			}
			name := isName.FindStringSubmatch(quoted)
			if name == nil {
				continue
			}
			source, known := sources[name[1]]
			if !known {
				continue // a package of the standard library
			}
			for _, identifier := range name[2:] {
				if !regexp.MustCompile(`\b` + identifier + `\b`).MatchString(source) {
					t.Errorf("%s names %s, which package %s does not have", page, quoted, name[1])
				}
			}
		}
	}
}

// packageSources returns the source text of each package of the module, without test files, by the package's name.
func packageSources(t *testing.T, root string) map[string]string {
	t.Helper()
	sources := map[string]string{}
	for _, path := range goFiles(t, root) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		declaration := regexp.MustCompile(`(?m)^package (\w+)$`).FindSubmatch(text)
		if declaration == nil {
			t.Fatalf("%s has no package clause", path)
		}
		sources[string(declaration[1])] += strings.TrimSpace(string(text)) + "\n"
	}
	return sources
}

// testNames returns the set of the names of all test functions of the module.
func testNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{"TestMain": true}
	for _, folder := range []string{"logic", "internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, declaration := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllSubmatch(text, -1) {
				names[string(declaration[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
