// Package membership decides which nodes are alive, suspect, leaving or dead, in
// the manner of SWIM with suspicion and incarnations. It is a pure core.
package membership
