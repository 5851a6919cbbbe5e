// Package message holds the Avro messages that driftstage processes send each
// other. messages.avsc is the source; messages_gen.go is generated from it and
// committed, so that a build needs no generator.
package message

//go:generate go tool avrogen -pkg message -encoders -o messages_gen.go messages.avsc
