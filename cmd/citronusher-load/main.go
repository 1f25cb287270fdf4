// Command citronusher-load generates load on a running system and reports latencies, outcomes and throughput.
package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/load"
)

func main() {
	var options load.Options
	parsed := kong.Parse(&options, kong.Name("citronusher-load"),
		kong.Description("Generates load and reports latencies, outcomes and throughput."))
	report, err := load.New(options).Run(context.Background())
	parsed.FatalIfErrorf(err)
	fmt.Println(strings.Join(report.Summary(), "\n"))
	if options.Out != "" {
		parsed.FatalIfErrorf(report.Write(options.Out))
	}
}
