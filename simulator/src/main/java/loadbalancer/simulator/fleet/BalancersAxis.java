package loadbalancer.simulator.fleet;

import java.io.IOException;

/** More balancers before the same upstreams. */
final class BalancersAxis implements Axis {
    private final Axes.Setup setup;

    BalancersAxis(Axes.Setup setup) {
        this.setup = setup;
    }

    @Override
    public String name() {
        return "balancers";
    }

    @Override
    public Need need(long size) {
        return FleetRun.need(
                setup.plan().withSize((int) size, setup.plan().fleet().upstreams()));
    }

    @Override
    public ScalePoint measure(long size) throws IOException, InterruptedException {
        FleetPlan plan = setup.plan().withSize((int) size, setup.plan().fleet().upstreams());
        return new FleetRun(plan, setup.root()).play(name(), size);
    }
}
