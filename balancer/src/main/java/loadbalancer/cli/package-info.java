/** The operators' command line: checks, explains and compares operator files. Not loaded by a balancer that serves. */
package loadbalancer.cli;
