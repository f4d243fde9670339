/**
 * The process's log: an SLF4J provider whose loggers write text or JSON lines from a separate thread. The queue of that
 * thread is bounded, and drops and counts lines when it is full, so that the event loop never waits.
 */
package loadbalancer.logs;
