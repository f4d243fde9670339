package loadbalancer.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets in a tree, such as instance, tenant and route. Each node has its own rate and may borrow what its
 * siblings leave unused, up to its ceiling, as in Devera's hierarchical token bucket (Linux HTB). A node within its own
 * rate is always served, so borrowing never reduces another node's rate. What a node takes is counted at all nodes
 * above it.
 *
 * <p>Pure: the caller passes the time, which may stand still but must not go back; a step back counts as standing
 * still. Not thread-safe.
 */
public final class TokenBucketTree {
    private static final double MICROS_PER_SECOND = 1e6;

    private static final class Node {
        private final Node parent; // null for the root
        private final RateLimit rate;
        private double tokens; // of its own rate; if negative, a node with children is in debt and lends nothing
        private double ceilingTokens;
        private long refilledAtMicros = Long.MIN_VALUE;

        Node(Node parent, RateLimit rate) {
            this.parent = parent;
            this.rate = rate;
            this.tokens = rate.burst();
            this.ceilingTokens = rate.burst();
        }

        void refill(long nowMicros) {
            double elapsedSeconds = refilledAtMicros == Long.MIN_VALUE
                    ? 0
                    : Math.max(0, nowMicros - refilledAtMicros) / MICROS_PER_SECOND;
            refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
            tokens = Math.min(rate.burst(), tokens + rate.perSecond() * elapsedSeconds);
            ceilingTokens = Math.min(rate.burst(), ceilingTokens + rate.ceiling() * elapsedSeconds);
        }

        /** Returns the tokens that a request needs if it must leave the reserved fraction of the burst. */
        double requiredTokens(double reservedFraction) {
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

    /** Creates a tree that consists of its root. */
    public TokenBucketTree(String root, RateLimit rate) {
        this.root = root;
        nodes.put(root, new Node(null, rate));
    }

    /**
     * Adds a node.
     *
     * @throws IllegalArgumentException if the parent does not exist, or the name exists already
     */
    public void add(String parent, String name, RateLimit rate) {
        Node parentNode = nodes.get(parent);
        if (parentNode == null || nodes.containsKey(name)) {
            throw new IllegalArgumentException(
                    parentNode == null ? "unknown parent node '" + parent + "'" : "duplicate node name '" + name + "'");
        }
        nodes.put(name, new Node(parentNode, rate));
    }

    /** Returns the name of the root. */
    public String root() {
        return root;
    }

    /** Whether there is a node of this name. */
    public boolean has(String name) {
        return nodes.containsKey(name);
    }

    private Node node(String name) {
        Node node = nodes.get(name);
        if (node == null) {
            throw new IllegalArgumentException("unknown node '" + name + "'");
        }
        return node;
    }

    /**
     * Takes one token for a request at a node; returns false if the node is over its limits.
     *
     * @throws IllegalArgumentException if there is no such node
     */
    public boolean tryTake(long nowMicros, String name) {
        return tryTake(nowMicros, name, 0);
    }

    /**
     * Takes one token for a request at a node, if part of the burst is reserved for requests of higher priority.
     *
     * @param reservedFraction fraction of the node's burst that this request must leave, from 0 to under 1
     * @throws IllegalArgumentException if there is no such node
     */
    public boolean tryTake(long nowMicros, String name, double reservedFraction) {
        Node leaf = node(name);
        for (Node node = leaf; node != null; node = node.parent) {
            node.refill(nowMicros);
        }
        if (leaf.tokens < leaf.requiredTokens(reservedFraction) && !mayBorrow(leaf, reservedFraction)) {
            return false;
        }
        take(leaf);
        return true;
    }

    private static boolean mayBorrow(Node leaf, double reservedFraction) {
        for (Node node = leaf; node.parent != null && node.ceilingTokens >= 1; node = node.parent) {
            if (node.parent.tokens >= node.parent.requiredTokens(reservedFraction)) {
                return true;
            }
        }
        return false;
    }

    private static void take(Node leaf) {
        leaf.tokens = Math.max(0, leaf.tokens - 1);
        leaf.ceilingTokens -= 1;
        for (Node node = leaf.parent; node != null; node = node.parent) {
            // The debt is at most one burst, so that lending does not stay blocked for long after a long overload.
            node.tokens = Math.max(-node.rate.burst(), node.tokens - 1);
            node.ceilingTokens = Math.max(0, node.ceilingTokens - 1);
        }
    }

    /**
     * Returns after how many microseconds a request at a node may pass within the node's own rate; {@link
     * Long#MAX_VALUE} for never.
     *
     * @throws IllegalArgumentException if there is no such node
     */
    public long waitMicros(long nowMicros, String name) {
        Node leaf = node(name);
        leaf.refill(nowMicros);
        double missingTokens = 1 - leaf.tokens;
        if (missingTokens <= 0) {
            return 0;
        }
        return leaf.rate.perSecond() <= 0
                ? Long.MAX_VALUE
                : (long) Math.ceil(missingTokens / leaf.rate.perSecond() * MICROS_PER_SECOND);
    }

    /**
     * Takes over the tokens of a former tree, by the names of the nodes. A node gets at most its own burst. Otherwise
     * each change of the limits would grant a new burst.
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
