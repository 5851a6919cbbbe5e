// Command driftstaged is part of driftstage.
package main

func main() {}
