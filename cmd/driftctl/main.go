// Command driftctl is part of driftstage.
package main

func main() {}
