// Command soak runs entry hosts under seeded faults; see docs/SOAK.md.
package main
