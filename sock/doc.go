// Package sock asks sockets what the net package does not tell, whether something has come that is still unread, and
// makes listening sockets refuse new connections.
//
// Lock order: Intake.mutex is taken last.
package sock
