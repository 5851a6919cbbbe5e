// Command driftlab is part of driftstage.
package main

func main() {}
