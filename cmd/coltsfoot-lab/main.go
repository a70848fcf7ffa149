// Command coltsfoot-lab runs all roles and stand-ins in one process.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/lab"
	"coltsfootpath.example/coltsfootpath/internal/policybench"
)

func main() {
	cmd := lab.Command()
	cmd.AddCommand(policybench.Command())
	app.Main(cmd)
}
