// Package gossip runs the membership core over UDP and spreads accepted
// configuration between nodes.
package gossip
