// Package lab generates load for driftstage and a baseline, and checks and measures the
// answers.
package lab
