// Command citronusher-soak plays seeded faults against daemons in separate processes and checks what callers were told.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/soak"
)

func main() {
	var options soak.Options
	parsed := kong.Parse(&options, kong.Name("citronusher-soak"),
		kong.Description("Plays faults drawn from a seed against daemons before stand-ins and checks the promises."))
	parsed.FatalIfErrorf(soak.Run(options, os.Stdout))
}
