// Package examples holds the settings trees of both users, as files for
// operators to copy and embedded for the demo.
package examples
