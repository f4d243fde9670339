/**
 * The operators' listener: one-line commands over TCP and their one-line responses. Belongs to the event loop's thread.
 */
package loadbalancer.admin;
