// Command boragewick routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/boragewick/boragewick/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
