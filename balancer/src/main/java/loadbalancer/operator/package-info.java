/**
 * Reads the operator file, and describes it to operators. Routes, pools and limits are validated as a whole before any
 * of them takes effect. Only this package knows the file's keys. A balancer without an operator file does not load it.
 */
package loadbalancer.operator;
