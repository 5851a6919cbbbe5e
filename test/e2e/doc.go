// Package e2e holds the end-to-end tests: separate processes under failure.
package e2e
