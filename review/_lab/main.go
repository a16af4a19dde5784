package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*lab){"versions": versions, "writer": writer, "uploads": uploads, "timeouts": timeouts, "unmarked": unmarked, "kinds": kinds, "limits": limits, "forwarder": forwarder}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newLab(os.Args[2]))
}
