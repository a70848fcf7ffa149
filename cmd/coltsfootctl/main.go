// Command coltsfootctl is the operators' command-line tool.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/ctl"
)

func main() {
	app.Main(ctl.Command())
}
