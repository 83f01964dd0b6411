package faultmatrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const pageFile = "../../docs/FAULTS.md"

func TestPageMatchesMatrix(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(RenderPage()), 0o644))
	}
	content, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	assert.Equal(t, string(content), RenderPage())
}

func TestEveryCellHasExactlyOneState(t *testing.T) {
	for _, step := range Steps {
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			assert.Equal(t, cell.StateCount(), 1, "number of states of %s at %s", fault, step)
		}
	}
	for i := range Guarantees {
		assert.Equal(t, Guarantees[i].StateCount(), 1, Guarantees[i].Statement)
		if dayFile := Guarantees[i].DayFile; dayFile != "" {
			_, err := os.Stat(filepath.Join("..", "..", "deploy", "days", dayFile+".toml"))
			assert.NilError(t, err)
		}
	}
	for i := range Pairs {
		assert.Equal(t, Pairs[i].StateCount(), 1, "number of states of %s and %s", Pairs[i].First, Pairs[i].Second)
	}
}

func TestEmptyCellHasNoState(t *testing.T) {
	for _, cell := range []Cell{{}, {Untested: "no issue number"}, {Issue: 8}} {
		assert.Equal(t, cell.StateCount(), 0)
	}
	missing := CellAt("no step", Death)
	assert.Equal(t, missing.StateCount(), 0)
}

func TestNamedTestsExist(t *testing.T) {
	testsByPackage := make(map[string]map[string]bool)
	check := func(cell *Cell, location string) {
		for _, test := range cell.Tests {
			if testsByPackage[test.Package] == nil {
				testsByPackage[test.Package] = testFunctions(t, test.Package)
			}
			assert.Check(t, testsByPackage[test.Package][test.Name], "%s: internal/%s has no %s", location, test.Package, test.Name)
		}
	}
	for _, step := range Steps {
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			check(&cell, string(step)+", "+string(fault))
		}
	}
	for i := range Guarantees {
		check(&Guarantees[i].Cell, Guarantees[i].Statement)
	}
	for i := range Pairs {
		check(&Pairs[i].Cell, string(Pairs[i].First)+" and "+string(Pairs[i].Second))
	}
}

func TestUnknownTestIsNotFound(t *testing.T) {
	assert.Assert(t, !testFunctions(t, "configuration")["TestThatDoesNotExist"])
	assert.Assert(t, !testFunctions(t, "configuration")["startProcess"])
}

// testFunctions returns the names of the test functions in the test files of a
// package.
func testFunctions(t *testing.T, pkg string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(pkg), "*_test.go"))
	assert.NilError(t, err)
	tests := make(map[string]bool)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if ok && function.Recv == nil && strings.HasPrefix(function.Name.Name, "Test") {
				tests[function.Name.Name] = true
			}
		}
	}
	return tests
}
