// Package reach decides how connections to upstreams are opened: by this host itself, or through another host that
// reaches the upstream, and which other hosts are asked for that. What a host reaches is known by upstream: it may have
// lost its links to some upstreams and not to others, and other hosts may have lost other ones.
package reach
