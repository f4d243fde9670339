package loadbalancer.operator;

/**
 * How the process writes its log.
 *
 * @param json whether lines are JSON rather than text
 * @param queueLines how many lines may wait to be written; further ones are dropped
 */
public record LogSettings(boolean json, int queueLines) {}
