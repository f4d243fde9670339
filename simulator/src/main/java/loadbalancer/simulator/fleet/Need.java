package loadbalancer.simulator.fleet;

/**
 * What a size needs of the machine.
 *
 * @param bytes of memory, all processes together
 * @param processes beside the simulator's own
 * @param descriptors of the simulator's process
 */
public record Need(long bytes, int processes, int descriptors) {}
