// Command pomeloferry dispatches sub-second tasks to workers.
package main

import (
	"os"

	"github.com/pomeloferry/pomeloferry/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
