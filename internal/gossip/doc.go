// Package gossip runs the membership protocol over UDP and disseminates accepted
// configuration between nodes.
package gossip
