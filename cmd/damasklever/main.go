// Command damasklever runs the processes of the router.
package main

func main() {}
