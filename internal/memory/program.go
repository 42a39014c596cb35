package memory

import (
	"fmt"
	"os"
)

// programGrowth is how much more of the program's file may become resident after the start, in bytes.
const programGrowth = 1 << 20

// defaultProgram is assumed where the system does not tell, in bytes.
const defaultProgram = 16 << 20

// ResidentProgram returns how much of the program's file is resident or will soon be, in bytes.
func ResidentProgram() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return defaultProgram
	}
	var size, resident, shared int64
	if _, err := fmt.Sscan(string(text), &size, &resident, &shared); err != nil {
		return defaultProgram
	}
	return shared*int64(os.Getpagesize()) + programGrowth
}
