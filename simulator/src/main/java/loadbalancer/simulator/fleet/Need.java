package loadbalancer.simulator.fleet;

/**
 * What a size needs of the machine.
 *
 * @param bytes of memory, all processes together
 * @param processes beside the laboratory's own
 * @param descriptors of the laboratory's process
 */
public record Need(long bytes, int processes, int descriptors) {}
