package loadbalancer.simulator.world;

import loadbalancer.simulator.engine.RandomStream;

/** Delays between zones, loss, and partitions one way or both. */
final class Network {
    private static final long RESEND = 200_000; // µs until a lost segment is sent again
    private static final int PATHS = 16;

    private final long[][] delay;
    private final long client;
    private final double jitter;
    private final boolean[][] cut;
    private final long seed;
    private double loss;
    private double delayFactor = 1;

    Network(WorldPlan plan, RandomStream random, long seed) {
        int zones = plan.zones().size();
        this.seed = seed;
        delay = new long[zones][zones];
        cut = new boolean[zones][zones];
        for (int i = 0; i < zones; i++) {
            for (int j = 0; j <= i; j++) {
                delay[i][j] = Math.round(
                        (i == j ? plan.network().sameZone() : plan.network().crossZone()).draw(random));
                delay[j][i] = delay[i][j];
            }
        }
        client = Math.round(plan.network().client().draw(random));
        jitter = plan.network().jitter().draw(random);
        loss = plan.network().loss();
    }

    /** Whether nothing gets from one zone to the other. */
    boolean cut(int from, int to) {
        return cut[from][to];
    }

    void cut(int from, int to, boolean now) {
        cut[from][to] = now;
    }

    void loss(double share) {
        loss = share;
    }

    double loss() {
        return loss;
    }

    void setDelayFactor(double factor) {
        delayFactor = factor;
    }

    /** How long a message takes; {@code message} tells it from all others of its path. */
    long between(int from, int to, long message, int path) {
        return withJitter(delay[from][to], message, path);
    }

    /** The same from a client to its balancer. */
    long client(long message, int path) {
        return withJitter(client, message, PATHS + path);
    }

    /** Mean time of a message. */
    long mean(int from, int to) {
        return delay[from][to];
    }

    private long withJitter(long base, long message, int path) {
        double late = jitter * IndexedRandom.exponential(seed, message, 3L * path);
        long time = Math.round(base * delayFactor * (1 - jitter / 2 + late));
        if (loss > 0) {
            int resends = 0;
            while (resends < 4 && IndexedRandom.uniform(seed, message, 3L * path + 1 + 100L * resends) < loss) {
                time += RESEND << resends++;
            }
        }
        return Math.max(1, time);
    }
}
