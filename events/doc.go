// Package events numbers what the programs log; docs/EVENTS.md is the catalogue.
package events
