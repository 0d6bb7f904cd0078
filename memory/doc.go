// Package memory bounds what a host keeps in memory for others, over all of its requests together.
package memory
