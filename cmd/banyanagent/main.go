// Command banyanagent is the process beside a backend server. See docs/design.md.
package main

import (
	"os"

	"github.com/banyanfront/banyanfront/internal/command"
)

func main() { os.Exit(command.Main(command.Agent(), os.Args[1:])) }
