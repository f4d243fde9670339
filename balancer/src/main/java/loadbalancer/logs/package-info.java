/**
 * One SLF4J logger for all: text or JSON lines, written behind a bounded queue that drops and counts rather than keep
 * the event loop waiting.
 */
package loadbalancer.logs;
