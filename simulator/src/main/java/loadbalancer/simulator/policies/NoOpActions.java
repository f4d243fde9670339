package loadbalancer.simulator.policies;

import loadbalancer.policy.LoadBalancingPolicy;

/** Ignores every action of a policy. Subclasses override the actions that they need. */
public class NoOpActions implements LoadBalancingPolicy.Actions {
    @Override
    public void send(String request, String server, long timeout) {}

    @Override
    public void reject(String request, long retryAfter) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String server) {}

    @Override
    public void watch(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void closeIdle(String server) {}

    @Override
    public void sendToPeer(int peer, byte[] data) {}

    @Override
    public void wakeAfter(long delay) {}

    @Override
    public void log(String line) {}
}
