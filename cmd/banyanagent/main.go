// Command banyanagent runs the agent of a backend server or the rank process of a lock-step group. See docs/design.md.
package main

import (
	"os"

	"github.com/banyanfront/banyanfront/internal/command"
)

func main() { os.Exit(command.Main(command.Agent(), os.Args[1:])) }
