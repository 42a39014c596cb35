// Package operator reads the operators' file, a TOML file that says how an agent does what the platform asks of it. Without one an agent
// behaves as [Default] says.
//
// The file's keys are an interface of their own: they stay as they were shipped, and the struct tags map them to the terms that the
// code uses. testdata/operator-keys.txt lists them. docs/operating.md has the meaning of each key for operators, deploy/operator.toml
// all defaults.
//
// Each table has a file here: its struct, its defaults, its check, and the settings of other packages that are made of it. [Load] and
// [Parse] return errors of type [ryeweir/internal/config.Error], joined, that name file, line and key.
package operator
