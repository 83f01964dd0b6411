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

func TestPageIsTheMatrix(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(RenderPage()), 0o644))
	}
	written, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	assert.Equal(t, string(written), RenderPage())
}

func TestEveryCellIsInOneState(t *testing.T) {
	for _, step := range Steps {
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			assert.Equal(t, cell.StateCount(), 1, "%s at %s", fault, step)
		}
	}
	for i := range Guarantees {
		assert.Equal(t, Guarantees[i].StateCount(), 1, Guarantees[i].Statement)
		if day := Guarantees[i].DayFile; day != "" {
			_, err := os.Stat(filepath.Join("..", "..", "deploy", "days", day+".toml"))
			assert.NilError(t, err)
		}
	}
	for i := range Pairs {
		assert.Equal(t, Pairs[i].StateCount(), 1, "%s and %s", Pairs[i].First, Pairs[i].Second)
	}
}

func TestEmptyCellIsFound(t *testing.T) {
	for _, cell := range []Cell{{}, {Untested: "without an issue"}, {Issue: 8}} {
		assert.Equal(t, cell.StateCount(), 0)
	}
	missing := CellAt("no step", Death)
	assert.Equal(t, missing.StateCount(), 0)
}

func TestNamedTestsExist(t *testing.T) {
	sources := make(map[string]map[string]bool)
	check := func(cell *Cell, place string) {
		for _, named := range cell.Tests {
			if sources[named.Package] == nil {
				sources[named.Package] = testsOf(t, named.Package)
			}
			assert.Check(t, sources[named.Package][named.Name], "%s: internal/%s has no %s", place, named.Package, named.Name)
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
	assert.Assert(t, !testsOf(t, "configuration")["TestThatNobodyWrote"])
	assert.Assert(t, !testsOf(t, "configuration")["startProcess"])
}

// testsOf returns the test functions of a package's test files.
func testsOf(t *testing.T, pkg string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(pkg), "*_test.go"))
	assert.NilError(t, err)
	tests := make(map[string]bool)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, declared := range file.Decls {
			f, ok := declared.(*ast.FuncDecl)
			if ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				tests[f.Name.Name] = true
			}
		}
	}
	return tests
}
