/** Reads TOML files strictly: every fault is named, with file, line and what was meant, before anything binds. */
package loadbalancer.toml;
