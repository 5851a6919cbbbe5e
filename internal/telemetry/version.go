package telemetry

import "runtime/debug"

// Version returns the version of the program's module, or "development".
func Version() string {
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}
