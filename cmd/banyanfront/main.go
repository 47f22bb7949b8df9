// Command banyanfront runs an entry or control instance and provides the operators' commands. See docs/design.md.
package main

import (
	"os"

	"github.com/banyanfront/banyanfront/internal/command"
)

func main() { os.Exit(command.Main(command.Front(), os.Args[1:])) }
