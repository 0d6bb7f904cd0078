// Package heads decides whether bytes are the head of an HTTP/1 message at all, before anything is concluded from it. The
// HTTP library takes more than the grammar allows: any three characters that make a number for a status, and names with
// blanks, which no look-up of the name finds.
package heads
