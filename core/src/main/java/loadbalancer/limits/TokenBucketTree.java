package loadbalancer.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets in a tree, such as instance, tenant and route: each node has a rate of its own and may borrow what its
 * siblings leave unused, up to its ceiling, as in Devera's hierarchical token bucket (Linux HTB). A node within its own
 * rate is always served, so no borrowing takes another node's rate; what a node takes is counted at all nodes above it.
 *
 * <p>Pure: the caller brings the time, which may stand still but not go back; a step back counts as standing still.
 * Not thread-safe.
 */
public final class TokenBucketTree {
    private static final double MICROS_PER_SECOND = 1e6;

    private static final class Node {
        private final Node parent; // null for the root
        private final RateLimit rate;
        private double tokens; // of its own rate; a node with children may owe some, and lends none then
        private double ceilingTokens;
        private long refilledAtMicros = Long.MIN_VALUE;

        Node(Node parent, RateLimit rate) {
            this.parent = parent;
            this.rate = rate;
            this.tokens = rate.burst();
            this.ceilingTokens = rate.burst();
        }

        void refill(long nowMicros) {
            double seconds = refilledAtMicros == Long.MIN_VALUE
                    ? 0
                    : Math.max(0, nowMicros - refilledAtMicros) / MICROS_PER_SECOND;
            refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
            tokens = Math.min(rate.burst(), tokens + rate.perSecond() * seconds);
            ceilingTokens = Math.min(rate.burst(), ceilingTokens + rate.ceiling() * seconds);
        }

        /** Tokens that must be there for a request that has to leave that part of the burst. */
        double required(double reservedFraction) {
            return 1 + reservedFraction * (rate.burst() - 1);
        }

        void restore(Node former) {
            tokens = Math.min(rate.burst(), former.tokens);
            ceilingTokens = Math.min(rate.burst(), former.ceilingTokens);
            refilledAtMicros = former.refilledAtMicros;
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final String root;

    /** Creates a tree of one node. */
    public TokenBucketTree(String root, RateLimit rate) {
        this.root = root;
        nodes.put(root, new Node(null, rate));
    }

    /**
     * Adds a node.
     *
     * @throws IllegalArgumentException where the parent does not exist, or the name does
     */
    public void add(String parent, String name, RateLimit rate) {
        Node above = nodes.get(parent);
        if (above == null || nodes.containsKey(name)) {
            throw new IllegalArgumentException(
                    above == null ? "no limit '" + parent + "'" : "two limits are called '" + name + "'");
        }
        nodes.put(name, new Node(above, rate));
    }

    /** Name of the node above all others. */
    public String root() {
        return root;
    }

    /** Whether there is a node of that name. */
    public boolean has(String name) {
        return nodes.containsKey(name);
    }

    private Node node(String name) {
        Node node = nodes.get(name);
        if (node == null) {
            throw new IllegalArgumentException("no limit '" + name + "'");
        }
        return node;
    }

    /**
     * Takes one token for a request at that node; false where it is over its limits.
     *
     * @throws IllegalArgumentException where there is no such node
     */
    public boolean tryTake(long nowMicros, String name) {
        return tryTake(nowMicros, name, 0);
    }

    /**
     * Takes one token, where a part of the burst is reserved for requests of higher priority.
     *
     * @param reservedFraction from 0 to under 1: the part of the node's burst that this request must leave
     * @throws IllegalArgumentException where there is no such node
     */
    public boolean tryTake(long nowMicros, String name, double reservedFraction) {
        Node leaf = node(name);
        for (Node node = leaf; node != null; node = node.parent) {
            node.refill(nowMicros);
        }
        if (leaf.tokens < leaf.required(reservedFraction) && !mayBorrow(leaf, reservedFraction)) {
            return false;
        }
        take(leaf);
        return true;
    }

    private static boolean mayBorrow(Node leaf, double reservedFraction) {
        for (Node node = leaf; node.parent != null && node.ceilingTokens >= 1; node = node.parent) {
            if (node.parent.tokens >= node.parent.required(reservedFraction)) {
                return true;
            }
        }
        return false;
    }

    private static void take(Node leaf) {
        leaf.tokens = Math.max(0, leaf.tokens - 1);
        leaf.ceilingTokens -= 1;
        for (Node node = leaf.parent; node != null; node = node.parent) {
            // A debt of one burst at most, so that a long overload does not block lending for long after it.
            node.tokens = Math.max(-node.rate.burst(), node.tokens - 1);
            node.ceilingTokens = Math.max(0, node.ceilingTokens - 1);
        }
    }

    /**
     * After how many microseconds a request at that node may pass by its own rate; {@link Long#MAX_VALUE} where never.
     *
     * @throws IllegalArgumentException where there is no such node
     */
    public long waitMicros(long nowMicros, String name) {
        Node leaf = node(name);
        leaf.refill(nowMicros);
        double missing = 1 - leaf.tokens;
        if (missing <= 0) {
            return 0;
        }
        return leaf.rate.perSecond() <= 0
                ? Long.MAX_VALUE
                : (long) Math.ceil(missing / leaf.rate.perSecond() * MICROS_PER_SECOND);
    }

    /**
     * Goes on from another tree, by name: a node begins with what its namesake had left, at most its own burst, so that
     * limits that are changed often don't grant a burst each time.
     */
    public void restore(TokenBucketTree former) {
        former.nodes.forEach((name, formerNode) -> {
            Node node = nodes.get(name);
            if (node != null) {
                node.restore(formerNode);
            }
        });
    }
}
