// Package config decodes configuration files into structs and validates them. Its errors contain the file, the line and the key.
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
	Line int    // starts at 1; 0 if unknown
	Key  string // dotted path, with array indexes in brackets, starting at 0; empty if the error concerns no key
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

// KeyError reports an invalid value of a key. Checker.Check returns it, and At adds the position in the file.
type KeyError struct {
	Key string // as in Error.Key
	Err error
}

// Error returns the message in the form "key: cause".
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// Wrong returns a KeyError for a key with a formatted message.
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
		return nil, &Error{File: file, Err: fmt.Errorf("is a directory or larger than %d bytes", maxFileSize)}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	return data, nil
}

// Checker is implemented by structs that validate their decoded values. Check returns a KeyError for each invalid value, joined by
// errors.Join.
type Checker interface{ Check() error }

// TOML decodes the text of a file into a struct that already holds the defaults, and validates the result. Unknown keys are errors.
// Multiple errors are joined by errors.Join.
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
	if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, _ := decodeErr.Position()
		text := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return &Error{File: file, Line: row, Key: strings.Join(decodeErr.Key(), "."), Err: errors.New(text)}
	}
	return &Error{File: file, Err: err}
}

// At converts each KeyError that a Check has returned to an Error with its position in the file.
func At(file string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, inner := range joined.Unwrap() {
			all = append(all, At(file, data, inner))
		}
		return errors.Join(all...)
	}
	if keyErr, ok := errors.AsType[*KeyError](err); ok {
		return &Error{File: file, Line: locate(data, keyErr.Key), Key: keyErr.Key, Err: keyErr.Err}
	}
	return &Error{File: file, Err: err}
}

// locate returns the line of a key in the text of a TOML file. If the key is missing it returns the line of the nearest enclosing table, or
// 0 if there is none. A key is a dotted path with [N] after the name of an array of tables.
func locate(data []byte, key string) int {
	found, enclosing, table := 0, 0, ""
	seen := map[string]int{}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		name := ""
		switch {
		case strings.HasPrefix(line, "[["):
			name = strings.TrimSpace(strings.SplitN(strings.TrimPrefix(line, "[["), "]]", 2)[0])
			name = withIndexes(name, seen)
			at := fmt.Sprintf("%s[%d]", name, seen[name])
			seen[name]++
			table, name = at, at
		case strings.HasPrefix(line, "["):
			table = withIndexes(strings.TrimSpace(strings.SplitN(line[1:], "]", 2)[0]), seen)
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
			enclosing = i + 1
		}
	}
	if found > 0 {
		return found
	}
	return enclosing
}

// withIndexes adds the current index of each enclosing array to the name of a table. seen holds the number of elements of each array so far.
func withIndexes(name string, seen map[string]int) string {
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

// JSON decodes the text of a file into a struct. Unknown keys are ignored, because the platform may add keys.
func JSON(file string, data []byte, into any) error {
	return JSONError(file, data, json.Unmarshal(data, into))
}

// JSONError converts an error of encoding/json to an Error with its position in the file.
func JSONError(file string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	if syntaxErr, ok := errors.AsType[*json.SyntaxError](err); ok {
		return &Error{File: file, Line: lineAt(data, syntaxErr.Offset), Err: syntaxErr}
	}
	if typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return &Error{File: file, Line: lineAt(data, typeErr.Offset), Key: typeErr.Field, Err: fmt.Errorf("cannot decode %s as %s", typeErr.Value, typeErr.Type)}
	}
	return &Error{File: file, Err: err}
}

// lineAt returns the line number of a byte offset, starting at 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// Duration is a time.Duration that files contain as a string, such as "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms, 1.5s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
