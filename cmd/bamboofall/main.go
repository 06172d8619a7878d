// Command bamboofall runs the entry daemon and the operators' commands.
package main

import (
	"os"

	"bamboofall.example/bamboofall/internal/operator/command"
)

func main() { os.Exit(command.Main(os.Args, os.Stdout, os.Stderr)) }
