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

// If a logic.Reason or logic.Result is missing from the tables, it is recorded as "none", or the process panics with an index out of
// range.
func TestEveryLogicReasonAndResultHasAnEventReason(t *testing.T) {
	constants := logicConstants(t, "Reason", "Result")
	if got, want := len(decisionReasons), len(constants["Reason"]); got != want {
		t.Errorf("%d reasons are mapped, package logic has %d: %v", got, want, constants["Reason"])
	}
	if got, want := len(resultReasons), len(constants["Result"]); got != want {
		t.Errorf("%d results are mapped, package logic has %d: %v", got, want, constants["Result"])
	}
	requireDistinct(t, "reason", decisionReasons[:])
	requireDistinct(t, "result", resultReasons[:])
	if decisionReasons[logic.NoReason] != event.None {
		t.Errorf("NoReason is mapped to %v", decisionReasons[logic.NoReason])
	}
}

// requireDistinct checks that all entries differ. A missing entry is event.None, the zero value.
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

// logicConstants returns the names of the constants in package logic by type. It finds the constants of enumerations with iota. It
// fails the test if one of the types has none.
func logicConstants(t *testing.T, types ...string) map[string][]string {
	t.Helper()
	files, err := filepath.Glob("../../logic/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("files of package logic: %v, %v", files, err)
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
			t.Fatalf("package logic has no constants of type %s", name)
		}
	}
	return names
}

// addConstants adds the names in one const declaration, by type. A constant without type and value has the type of the previous one.
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
