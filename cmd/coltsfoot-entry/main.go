// Command coltsfoot-entry runs one entry process.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/entry"
)

func main() {
	app.Main(entry.Command())
}
