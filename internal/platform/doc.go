// Package platform is the client of the Object API and of the machine list.
package platform
