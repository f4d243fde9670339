package loadbalancer.simulator.fleet;

import java.io.IOException;

/** More upstreams behind the same balancers. */
final class UpstreamsAxis implements Axis {
    private final Axes.Setup setup;

    UpstreamsAxis(Axes.Setup setup) {
        this.setup = setup;
    }

    @Override
    public String name() {
        return "upstreams";
    }

    @Override
    public Need need(long size) {
        return FleetRun.need(setup.plan().withSize(setup.plan().fleet().balancers(), (int) size));
    }

    @Override
    public ScalePoint measure(long size) throws IOException, InterruptedException {
        FleetPlan plan = setup.plan().withSize(setup.plan().fleet().balancers(), (int) size);
        return new FleetRun(plan, setup.root()).play(name(), size);
    }
}
