/**
 * The process's log: one SLF4J provider whose loggers write text or JSON lines from a thread of their own, behind a
 * bounded queue that drops and counts lines rather than make the event loop wait.
 */
package loadbalancer.logs;
