package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"ryeweir/internal/event"
	"ryeweir/logic"
)

// A reason or a result that is added to the module and not to the tables would be recorded as "none", or end the process with
// an index out of range.
func TestEveryReasonAndResultOfTheModuleHasAnEventReason(t *testing.T) {
	constants := moduleConstants(t, "Reason", "Result")
	if got, want := len(decisionReasons), len(constants["Reason"]); got != want {
		t.Errorf("%d reasons are mapped, the module has %d: %v", got, want, constants["Reason"])
	}
	if got, want := len(resultReasons), len(constants["Result"]); got != want {
		t.Errorf("%d results are mapped, the module has %d: %v", got, want, constants["Result"])
	}
	requireDistinct(t, "reason", decisionReasons[:])
	requireDistinct(t, "result", resultReasons[:])
	if decisionReasons[logic.NoReason] != event.None {
		t.Errorf("NoReason is mapped to %v", decisionReasons[logic.NoReason])
	}
}

// requireDistinct checks that no two entries are equal: a missing entry would be event.None.
func requireDistinct(t *testing.T, what string, reasons []event.Reason) {
	t.Helper()
	seen := map[event.Reason]int{}
	for i, reason := range reasons {
		if first, repeated := seen[reason]; repeated {
			t.Errorf("%s %d and %d are both mapped to %v", what, first, i, reason)
		}
		seen[reason] = i
		if what == "result" && reason == event.None {
			t.Errorf("%s %d is not mapped", what, i)
		}
	}
}

// moduleConstants returns the names of the module's constants by their type, for enumerations that are declared with iota.
func moduleConstants(t *testing.T, types ...string) map[string][]string {
	t.Helper()
	files, err := filepath.Glob("../../logic/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("files of the module: %v, %v", files, err)
	}
	names := map[string][]string{}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if group, ok := declaration.(*ast.GenDecl); ok && group.Tok == token.CONST {
				addConstants(names, group)
			}
		}
	}
	for _, name := range types {
		if len(names[name]) == 0 {
			t.Fatalf("the module has no constants of type %s", name)
		}
	}
	return names
}

// addConstants adds the names of one group by type. A constant without type and value continues the type before it.
func addConstants(names map[string][]string, group *ast.GenDecl) {
	current := ""
	for _, spec := range group.Specs {
		constant := spec.(*ast.ValueSpec)
		if constant.Type != nil || len(constant.Values) > 0 {
			current = ""
			if identifier, ok := constant.Type.(*ast.Ident); ok {
				current = identifier.Name
			}
		}
		if current == "" {
			continue
		}
		for _, name := range constant.Names {
			names[current] = append(names[current], name.Name)
		}
	}
}
