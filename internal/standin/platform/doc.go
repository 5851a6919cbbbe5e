// Package platform is a stand-in for the platform: Object API and machine list.
package platform
