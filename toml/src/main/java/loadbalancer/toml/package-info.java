/**
 * Strict reading of TOML files: every fault is noted with file, line and what was expected, and all of them are
 * reported together before anything of the file is used. Not thread-safe.
 */
package loadbalancer.toml;
