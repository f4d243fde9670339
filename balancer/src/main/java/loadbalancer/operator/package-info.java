/**
 * The operator file: reads routes, pools and limits strictly before any of it binds, and describes it to operators.
 * Only this package knows the file's keys. Not loaded by a balancer that has no operator file.
 */
package loadbalancer.operator;
