// Package config reads and checks the settings of one process.
package config
