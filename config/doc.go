// Package config reads and checks the settings file of one host.
package config
