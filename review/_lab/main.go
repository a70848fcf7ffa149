package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the cases by the name of their folder. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run0()) }

func run0() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: review-lab CASE FOLDER, in the repository; cases: %v\n", sortedKeys(cases))
		return exitNotRun
	}
	rec := &record{start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.addf("case %s, trouble=%v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.addf("could not run: %v", err)
		code = exitNotRun
	case broken:
		rec.addf("result: the rule was broken")
		code = exitBroken
	default:
		rec.addf("result: the rule held")
	}
	if err := rec.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	return code
}
