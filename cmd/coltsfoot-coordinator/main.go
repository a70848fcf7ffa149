// Command coltsfoot-coordinator runs one coordinator process.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordinator"
)

func main() {
	app.Main(coordinator.Command())
}
