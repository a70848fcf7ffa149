// Command coltsfoot-standin runs one stand-in for an external system.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/standin"
)

func main() {
	app.Main(standin.Command())
}
