// Package bench measures real entry hosts under load over loopback, beside the
// stand-ins called directly and beside naive versions.
package bench
