// Command citronusher is the operators' command line.
package main

import (
	"os"

	"citronusher.example/citronusher/operator"
)

func main() {
	operator.Exit(operator.Run(os.Args[1:], os.Stdout))
}
