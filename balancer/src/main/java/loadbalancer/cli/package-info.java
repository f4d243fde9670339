/** The operators' command line, which checks, explains and compares operator files. {@code serve} does not load it. */
package loadbalancer.cli;
