// Package lab measures driftstage: load, baselines and scale runs.
package lab
