// Package soak runs driftrouter as separate processes between callers and
// stand-ins for the platform, injects random faults from outside (signals, and
// faults of the store, the servers and the links), and checks the documented
// guarantees against what callers received and servers ran.
//
//	go test ./test/soak                                    a short run with a fixed seed
//	go test ./test/soak -run 'TestSoak$' -soak 5m -seed 0  a long run with a random seed
//	go test ./test/soak -run 'TestCrashingRequests|TestUnrelatedCrashes' -ending-full   all rows of the crash tables
package soak
