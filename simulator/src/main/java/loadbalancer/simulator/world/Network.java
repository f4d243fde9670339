package loadbalancer.simulator.world;

import loadbalancer.simulator.engine.RandomStream;

/** The network between zones: delays, message loss, and partitions in one or both directions. */
final class Network {
    private static final long RETRANSMISSION_MICROS =
            200_000; // until a lost segment is first sent again; doubles each time
    private static final int CLIENT_PATH_OFFSET =
            16; // separates the draws of client paths from those of upstream paths

    private final long[][] baseDelay;
    private final long clientDelay;
    private final double jitter;
    private final boolean[][] cut;
    private final long seed;
    private double loss;
    private double delayFactor = 1;

    Network(WorldPlan plan, RandomStream random, long seed) {
        int zones = plan.zones().size();
        this.seed = seed;
        baseDelay = new long[zones][zones];
        cut = new boolean[zones][zones];
        for (int i = 0; i < zones; i++) {
            for (int j = 0; j <= i; j++) {
                baseDelay[i][j] = Math.round(
                        (i == j ? plan.network().sameZone() : plan.network().crossZone()).draw(random));
                baseDelay[j][i] = baseDelay[i][j];
            }
        }
        clientDelay = Math.round(plan.network().client().draw(random));
        jitter = plan.network().jitter().draw(random);
        loss = plan.network().loss();
    }

    /** Whether no message gets from one zone to the other. */
    boolean cut(int from, int to) {
        return cut[from][to];
    }

    void setCut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
    }

    void setLoss(double probability) {
        loss = probability;
    }

    double loss() {
        return loss;
    }

    void setDelayFactor(double factor) {
        delayFactor = factor;
    }

    /**
     * The delay of a message, in µs.
     *
     * @param message a number that is unique to the message on its path
     * @param path a number for each use of the same message number, such as request, reply or handshake
     */
    long between(int from, int to, long message, int path) {
        return withJitter(baseDelay[from][to], message, path);
    }

    /** The delay of a message between a client and its balancer, in µs. */
    long client(long message, int path) {
        return withJitter(clientDelay, message, CLIENT_PATH_OFFSET + path);
    }

    /** The base delay of a message, without jitter, loss and faults, in µs. */
    long mean(int from, int to) {
        return baseDelay[from][to];
    }

    private long withJitter(long base, long message, int path) {
        double jitterFactor = jitter * IndexedRandom.exponential(seed, message, 3L * path);
        long delayMicros = Math.round(base * delayFactor * (1 - jitter / 2 + jitterFactor));
        if (loss > 0) {
            int retransmissions = 0;
            while (retransmissions < 4
                    && IndexedRandom.uniform(seed, message, 3L * path + 1 + 100L * retransmissions) < loss) {
                delayMicros += RETRANSMISSION_MICROS << retransmissions++;
            }
        }
        return Math.max(1, delayMicros);
    }
}
