// Package platform is the client of the platform's Object API and machine list.
package platform
