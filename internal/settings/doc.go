// Package settings reads and checks the settings of the daemon from a file, flags
// and environment variables.
package settings
