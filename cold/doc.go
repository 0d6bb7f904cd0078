// Package cold decides which hosts may send how much to an upstream that is cold, so that all hosts together stay below
// what it bears in any second, whatever they hear of each other. It is pure.
package cold
