// Command citronusher is the operators' command line.
package main

import (
	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/operator"
)

func main() {
	var commands operator.Commands
	parsed := kong.Parse(&commands, kong.Name("citronusher"), kong.UsageOnError(),
		kong.Description("Edits profiles and targets, and shows what the daemons do. Exit codes: 0 done, 1 failed, "+
			"2 refused input, 3 version conflict."))
	operator.Exit(parsed.Run(&commands.Global))
}
