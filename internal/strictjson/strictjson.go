// Package strictjson decodes JSON with comments into structs and names the
// file, line and field of every fault, all of them at once.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError is one thing wrong with a document.
type FieldError struct {
	// File is the document's name.
	File string `json:"file"`
	// Line counts from 1; 0 when the fault has no place.
	Line int `json:"line"`
	// Field is a path such as "routes[2].tier".
	Field string `json:"field"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
}

// String returns the fault in one line.
func (e FieldError) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// FieldErrors is an error that lists all faults of a document.
type FieldErrors []FieldError

// Error returns one fault a line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// Document remembers where the fields of a decoded text stand.
type Document struct {
	file   string
	text   []byte
	lines  map[string]int
	errors FieldErrors
}

// Decode reads text into the struct that into points to. Unknown and repeated
// fields and values of a wrong type are faults. The document is never nil; its
// faults grow with Document.Fault.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, text: text, lines: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		d.errors = append(d.errors, FieldError{File: file, Line: parseErrorLine(err), Field: "(document)", Problem: err.Error()})
		return d
	}
	d.decode(&root, "", reflect.ValueOf(into).Elem())
	return d
}

// AddError adds a fault at a field, as found by the caller's own checks.
func (d *Document) AddError(field, format string, args ...any) {
	d.errors = append(d.errors, FieldError{
		File: d.file, Line: d.lineOf(field), Field: field, Problem: fmt.Sprintf(format, args...),
	})
}

// Err returns the faults, or nil when there are none.
func (d *Document) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	return d.errors
}

// FieldErrors returns the faults found so far.
func (d *Document) FieldErrors() FieldErrors { return d.errors }

// lineOf finds the lineOf of a field, or of the nearest field around it.
func (d *Document) lineOf(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return d.lines[""]
		}
		field = field[:cut]
	}
}

func (d *Document) decode(value *hujson.Value, path string, into reflect.Value) {
	d.lines[path] = 1 + bytes.Count(d.text[:value.StartOffset], []byte{'\n'})
	switch v := value.Value.(type) {
	case *hujson.Object:
		if into.Kind() == reflect.Struct {
			d.decodeObject(v, path, into)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.decodeArray(v, path, into)
			return
		}
	}
	standard := value.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into.Addr().Interface()); err != nil {
		d.AddError(path, "%s", describeDecodeError(err, into))
	}
}

func (d *Document) decodeObject(object *hujson.Object, path string, into reflect.Value) {
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := fieldPath(path, name)
		if seen[name] {
			d.lines[memberPath] = d.lines[path]
			d.AddError(memberPath, "stands twice")
			continue
		}
		seen[name] = true
		field := fieldByTag(into, name)
		if !field.IsValid() {
			d.lines[memberPath] = 1 + bytes.Count(d.text[:member.Name.StartOffset], []byte{'\n'})
			d.AddError(memberPath, "unknown field")
			continue
		}
		d.decode(&member.Value, memberPath, field)
	}
}

func (d *Document) decodeArray(array *hujson.Array, path string, into reflect.Value) {
	slice := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], path+"["+strconv.Itoa(i)+"]", slice.Index(i))
	}
	into.Set(slice)
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldByTag finds the field whose json tag has the name.
func fieldByTag(into reflect.Value, name string) reflect.Value {
	for i := range into.NumField() {
		tag, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return into.Field(i)
		}
	}
	return reflect.Value{}
}

func describeDecodeError(err error, into reflect.Value) string {
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("wants %s, not %s", into.Type(), mismatch.Value)
	}
	return err.Error()
}

// parseErrorLine reads the line from the parser's "line N, column M" text.
func parseErrorLine(err error) int {
	var line, column int
	_, after, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	if n, _ := fmt.Sscanf(after, "%d, column %d", &line, &column); n == 0 {
		return 0
	}
	return line
}
