// Package config decodes configuration files into structs and validates them. Its errors name the file, the line and the key.
package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in a configuration file, with its position.
type Error struct {
	File string
	Line int    // from 1; 0 if unknown
	Key  string // dotted path, with the index of a table in an array in brackets, from 0; empty if no key is concerned
	Err  error
}

// Error returns the message in the form "file:line: key: cause".
func (e *Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KeyError is an invalid value of one key, as Checker.Check returns it. At adds the position in the file.
type KeyError struct {
	Key string // as in Error.Key
	Err error
}

// Error returns the message in the form "key: cause".
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// Wrong returns a KeyError with a formatted message.
func Wrong(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// maxFileSize is the maximum size of a configuration file, in bytes.
const maxFileSize = 4 << 20

// Read returns the contents of a file of at most maxFileSize bytes.
func Read(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		var path *fs.PathError
		if errors.As(err, &path) {
			err = path.Err
		}
		return nil, &Error{File: file, Err: err}
	}
	if info.IsDir() || info.Size() > maxFileSize {
		return nil, &Error{File: file, Err: fmt.Errorf("is a folder, or holds more than %d bytes", maxFileSize)}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	return data, nil
}

// Checker is a decoded struct that validates its values. Check returns a KeyError for an invalid key; several errors are joined.
type Checker interface{ Check() error }

// TOML decodes a file's text into a struct that already holds the defaults, and validates it. Unknown keys are errors. Several errors
// are joined by errors.Join.
func TOML(file string, data []byte, into Checker) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeErrors(file, err)
	}
	return At(file, data, into.Check())
}

// decodeErrors converts errors of the TOML decoder to Errors with their positions.
func decodeErrors(file string, err error) error {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		var all []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			all = append(all, &Error{File: file, Line: row, Key: strings.Join(e.Key(), "."), Err: errors.New("no such key")})
		}
		return errors.Join(all...)
	}
	if bad, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, _ := bad.Position()
		text := strings.TrimPrefix(bad.Error(), "toml: ")
		return &Error{File: file, Line: row, Key: strings.Join(bad.Key(), "."), Err: errors.New(text)}
	}
	return &Error{File: file, Err: err}
}

// At converts the KeyErrors of a Check to Errors with their positions in the file.
func At(file string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, one := range many.Unwrap() {
			all = append(all, At(file, data, one))
		}
		return errors.Join(all...)
	}
	if key, ok := errors.AsType[*KeyError](err); ok {
		return &Error{File: file, Line: locate(data, key.Key), Key: key.Key, Err: key.Err}
	}
	return &Error{File: file, Err: err}
}

// locate returns the line of a key in the text of a TOML file, or of the nearest enclosing table; 0 without either. A key is a
// dotted path, with [N] after the name of an array of tables.
func locate(data []byte, key string) int {
	found, best, table := 0, 0, ""
	seen := map[string]int{}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		name := ""
		switch {
		case strings.HasPrefix(line, "[["):
			name = strings.TrimSpace(strings.SplitN(strings.TrimPrefix(line, "[["), "]]", 2)[0])
			name = indexed(name, seen)
			at := fmt.Sprintf("%s[%d]", name, seen[name])
			seen[name]++
			table, name = at, at
		case strings.HasPrefix(line, "["):
			table = indexed(strings.TrimSpace(strings.SplitN(line[1:], "]", 2)[0]), seen)
			name = table
		default:
			before, _, ok := strings.Cut(line, "=")
			if !ok || strings.HasPrefix(line, "#") {
				continue
			}
			if name = strings.Trim(strings.TrimSpace(before), `"'`); table != "" {
				name = table + "." + name
			}
		}
		if name == key && found == 0 {
			found = i + 1
		}
		if strings.HasPrefix(key, name+".") || strings.HasPrefix(key, name+"[") {
			best = i + 1
		}
	}
	if found > 0 {
		return found
	}
	return best
}

// indexed adds to a table's name the indexes of the enclosing arrays' current elements. seen counts the elements by array.
func indexed(name string, seen map[string]int) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		if path != "" {
			path += "."
		}
		path += part
		if n := seen[path]; n > 0 && i < len(parts)-1 {
			path += fmt.Sprintf("[%d]", n-1)
		}
	}
	return path
}

// JSON decodes a file's text into a struct. Unknown keys are ignored, as the platform may add some.
func JSON(file string, data []byte, into any) error {
	return JSONError(file, data, json.Unmarshal(data, into))
}

// JSONError converts an error of encoding/json to an Error with its position in the text.
func JSONError(file string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		return &Error{File: file, Line: lineAt(data, syntax.Offset), Err: syntax}
	}
	if kind, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return &Error{File: file, Line: lineAt(data, kind.Offset), Key: kind.Field, Err: fmt.Errorf("a %s can't be a %s", kind.Value, kind.Type)}
	}
	return &Error{File: file, Err: err}
}

// lineAt returns the line of a byte offset, from 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// Duration is a time.Duration that is written as a string in a file, such as "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 250ms, 1.5s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
