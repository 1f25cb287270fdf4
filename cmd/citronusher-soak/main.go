// Command citronusher-soak injects faults from a seed into daemons in separate processes and checks the answers to callers
// against the system's guarantees.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/soak"
)

func main() {
	var options soak.Options
	parsed := kong.Parse(&options, kong.Name("citronusher-soak"),
		kong.Description("Injects faults drawn from a seed into daemons with stand-in members and checks the guarantees."))
	parsed.FatalIfErrorf(soak.Run(options, os.Stdout))
}
