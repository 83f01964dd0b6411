package faultmatrix

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// sourcePath matches a path of the source in a page.
	sourcePath = regexp.MustCompile(`\b(?:internal|platform|cmd)/[a-z_/]*[a-z_](?:\.go)?`)
	// testName matches the name of a test function in a page, or the pattern of a
	// -run flag.
	testName = regexp.MustCompile(`(-run )?\b(Test[A-Z]\w+)`)
	// testDeclaration matches the declaration of a test function.
	testDeclaration = regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
)

// repositoryRoot is the root of the repository as seen from this package.
const repositoryRoot = "../.."

// TestPagesNameExistingSources guards against pages that name files, folders or
// tests that have been renamed or removed.
func TestPagesNameExistingSources(t *testing.T) {
	var tests []string
	walkFiles(t, "_test.go", func(_, text string) {
		for _, match := range testDeclaration.FindAllStringSubmatch(text, -1) {
			tests = append(tests, match[1])
		}
	})
	pages := 0
	checkPage := func(page, text string) {
		pages++
		for _, path := range sourcePath.FindAllString(text, -1) {
			_, err := os.Stat(filepath.Join(repositoryRoot, path))
			assert.Check(t, err, "%s names %s", page, path)
		}
		for _, match := range testName.FindAllStringSubmatch(text, -1) {
			isPattern, name := match[1] != "", match[2]
			declared := slices.ContainsFunc(tests, func(test string) bool {
				return test == name || isPattern && strings.HasPrefix(test, name)
			})
			assert.Check(t, declared, "%s names %s, which no test file declares", page, name)
		}
	}
	walkFiles(t, ".md", checkPage)
	walkFiles(t, "KNOWN-RED.txt", checkPage)
	assert.Assert(t, pages > 0 && len(tests) > 0, "found %d pages and %d tests", pages, len(tests))
}

// walkFiles reads all files of the repository with the suffix, but for the
// journal, whose entries record earlier states of the source.
func walkFiles(t *testing.T, suffix string, handle func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "journal" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return nil
		}
		text, err := os.ReadFile(path)
		handle(path, string(text))
		return err
	})
	assert.NilError(t, err)
}
