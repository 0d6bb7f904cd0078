// Package sock asks sockets what the net package does not tell.
package sock
