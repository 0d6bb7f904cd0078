// Command cherrykeel runs an entry host and carries out operators' commands.
package main
