// Package platform is a stand-in for the platform's Object API and machine list.
package platform
