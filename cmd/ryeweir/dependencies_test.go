package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Failure: the plotting library and its fonts, which an agent never uses, took 9 MB of the agent's memory limit of 32 MB.
func TestTheAgentsProgramHoldsNoPlottingLibrary(t *testing.T) {
	output, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields(string(output)) {
		if strings.HasPrefix(name, "gonum.org/v1/plot") || strings.Contains(name, "go-fonts") {
			t.Errorf("the program links %s", name)
		}
	}
}
