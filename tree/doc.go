// Package tree holds the settings tree. It defines the fields, reads them from TOML files, checks them, and resolves the
// values that a service inherits from its team and the firm. All functions but LoadDir do no I/O of their own.
package tree
