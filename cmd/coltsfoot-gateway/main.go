// Command coltsfoot-gateway runs one gateway process, the entry VM on an
// operator's platform.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/gateway"
)

func main() {
	app.Main(gateway.Command())
}
