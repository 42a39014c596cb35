// Command rig2 plays the cases 6 to 10 of the review: it is the platform, the discovery service, the servers and the clients of one agent, which it
// starts as a separate process with the command of the deploy file. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases maps the names of the cases to the functions that play them. Each returns how many breaks of its rule it saw.
var cases = map[string]func(*run) (broken int, err error){
	"short":    playShort,
	"upload":   playUpload,
	"silence":  playSilence,
	"interim":  playInterim,
	"twice":    playTwice,
	"restart":  playRestart,
	"chunk":    playChunk,
	"slowlist": playSlowList,
	"crowd":    playCrowd,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "backend" {
		serveBackendProcess(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and prints its verdict.
func play(name, folder string) int {
	r, err := newRun(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNoRun
	}
	broken, err := cases[name](r)
	if endErr := r.end(); err == nil {
		err = endErr
	}
	code, verdict := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, verdict = exitNoRun, "the case could not run: "+err.Error()
	case broken > 0:
		code, verdict = exitBroken, fmt.Sprintf("the rule was broken: %d", broken)
	}
	r.note("verdict", "%s", verdict)
	r.closeRecord()
	fmt.Println(verdict)
	return code
}
