package loadbalancer.operator;

/**
 * How the process writes its log.
 *
 * @param json whether lines are JSON rather than text
 * @param queueLines lines that may wait to be written before further ones are dropped
 */
public record LogSettings(boolean json, int queueLines) {}
