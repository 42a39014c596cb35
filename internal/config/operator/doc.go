// Package operator reads the operators' file, a TOML file with which operators tune an agent. Without one an agent uses [Default].
//
// The keys of the file are a public interface and must not change. The struct tags map them to the names that the code uses, and
// testdata/operator-keys.txt lists them. docs/operating.md documents each key for operators, and deploy/operator.toml contains all
// defaults.
//
// Most tables of the file have a source file of their own, with the struct, its defaults, its validation, and its conversion to the
// settings of other packages. [Load] and [Parse] return errors of type [ryeweir/internal/config.Error], joined, with file, line and key.
package operator
