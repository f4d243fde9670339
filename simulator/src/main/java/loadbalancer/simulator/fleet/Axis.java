package loadbalancer.simulator.fleet;

import java.io.IOException;

/** One direction in which the fleet grows, all else being held. */
public interface Axis {
    /** As experiment files and tables name it: balancers, upstreams, routes, tenants. */
    String name();

    /** What a run at that size needs: asked before it starts, and refused where the machine has less. */
    Need need(long size);

    /**
     * Runs at that size and ends all that it started, also where it is interrupted.
     *
     * @throws IOException where a process or socket can't be had
     * @throws InterruptedException where it is to end early
     */
    ScalePoint measure(long size) throws IOException, InterruptedException;
}
