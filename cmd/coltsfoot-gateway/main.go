// Command coltsfoot-gateway is the entry VM of an operator's platform.
package main

import (
	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/gateway"
)

func main() {
	app.Main(gateway.Command())
}
