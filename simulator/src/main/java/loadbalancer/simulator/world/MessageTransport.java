package loadbalancer.simulator.world;

import java.util.function.BiConsumer;
import loadbalancer.policy.AttemptOutcome;

/**
 * Carries attempts, their outcomes and probes between balancers and upstreams of a world, with the delays, losses and
 * partitions of its {@link Network}, and counts what that costs.
 */
final class MessageTransport {
    private final World world;
    private BiConsumer<Attempt, AttemptOutcome> replyListener;
    private double wastedWork;
    private long handshakes;
    private long crossings;
    private long probes;

    MessageTransport(World world) {
        this.world = world;
    }

    /** Sends all further outcomes to {@code listener}, for worlds without balancers. */
    void replyTo(BiConsumer<Attempt, AttemptOutcome> listener) {
        replyListener = listener;
    }

    /** Work done for requests that were already answered, cancelled or abandoned, in µs of a standard core. */
    double wastedWork() {
        return wastedWork;
    }

    /** Number of connections opened or tried. */
    long handshakes() {
        return handshakes;
    }

    /** Number of attempts sent from one zone to another. */
    long crossings() {
        return crossings;
    }

    /** Number of probes sent. */
    long probes() {
        return probes;
    }

    RequestWork workOf(Attempt attempt) {
        ClientRequest request = attempt.request().clientRequest();
        double noise = world.attemptNoise[request.requestClass];
        double variance = StrictMath.log(1 + noise * noise);
        double factor = noise <= 0
                ? 1
                : StrictMath.exp(Math.sqrt(variance) * IndexedRandom.gaussian(world.randomSeed, attempt.serial, 11)
                        - variance / 2);
        return new RequestWork(request.work * factor, request.key);
    }

    /** Carries an attempt to its upstream, over a new connection if {@code newConnection}. */
    void deliver(Attempt attempt, boolean newConnection, long now) {
        Upstream upstream = attempt.upstream;
        Balancer balancer = attempt.balancer();
        crossings += balancer.zone != upstream.zone ? 1 : 0;
        boolean blocked = blocked(balancer, upstream);
        long requestDelay = world.network.between(balancer.zone, upstream.zone, attempt.serial, 0);
        long handshakeDelay = 0;
        if (newConnection) {
            handshakes++;
            long connectTimeout = world.plan.fleet().connectTimeoutMicros();
            long roundTrip = world.network.between(balancer.zone, upstream.zone, attempt.serial, 2)
                    + world.network.between(upstream.zone, balancer.zone, attempt.serial, 3);
            if (blocked
                    || !upstream.alive()
                    || upstream.overloaded()
                    || upstream.full()
                    || roundTrip > connectTimeout) {
                long outcomeDelay = blocked ? connectTimeout : Math.min(roundTrip, connectTimeout);
                world.simulation.after(
                        outcomeDelay, at -> balancer.outcome(attempt, AttemptOutcome.CONNECT_FAILED, at));
                return;
            }
            upstream.addConnections(1);
            handshakeDelay = Math.round(roundTrip * world.handshakeRtts);
        }
        if (!blocked) {
            upstream.addArriving(1);
            world.simulation.after(handshakeDelay + requestDelay, at -> {
                upstream.addArriving(-1);
                if (!blocked(balancer, upstream)) {
                    upstream.accept(attempt, newConnection, at);
                }
            });
        }
    }

    private boolean blocked(Balancer balancer, Upstream upstream) {
        return upstream.silent()
                || world.network.cut(balancer.zone, upstream.zone)
                || world.network.cut(upstream.zone, balancer.zone);
    }

    /** Carries the outcome of an attempt from the upstream back to its balancer. */
    void reply(Attempt attempt, Upstream upstream, AttemptOutcome outcome, long now) {
        if (replyListener != null) {
            replyListener.accept(attempt, outcome);
            return;
        }
        Balancer balancer = attempt.balancer();
        if (world.network.cut(upstream.zone, balancer.zone)) {
            return;
        }
        world.simulation.after(
                world.network.between(upstream.zone, balancer.zone, attempt.serial, 1),
                at -> balancer.outcome(attempt, outcome, at));
    }

    /** Counts completed work as wasted if nobody waits for its result any more. */
    void workDone(Attempt attempt, double work) {
        if (!attempt.inFlight() || attempt.request().clientGone || attempt.request().answered) {
            wastedWork += work;
        }
    }

    void probe(Balancer balancer, String id, Upstream upstream, long now) {
        probes++;
        long roundTrip =
                world.network.mean(balancer.zone, upstream.zone) + world.network.mean(upstream.zone, balancer.zone);
        boolean lost = blocked(balancer, upstream);
        long outcomeDelay = lost ? world.plan.fleet().connectTimeoutMicros() : roundTrip;
        AttemptOutcome outcome = lost
                ? AttemptOutcome.TIMEOUT
                : !upstream.alive() || upstream.overloaded() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK;
        world.simulation.after(outcomeDelay, at -> balancer.probeEnded(id, outcome, outcomeDelay, at));
    }
}
