/**
 * Strict reading of TOML files: each fault is recorded with file, line and what was expected, and all faults are
 * reported together before anything in the file is used. Not thread-safe.
 */
package loadbalancer.toml;
