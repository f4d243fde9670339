package loadbalancer.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets in a tree, such as instance, tenant and route: each node has a rate of its own and may borrow what its
 * siblings leave unused, up to its ceiling (the idea of Devera's hierarchical token bucket). A node within its own rate
 * is always served, so nobody's borrowing takes another's share; what it takes is counted at all nodes above it.
 *
 * <p>Pure: the caller brings the time, in µs, which may stand still but not go back (a step back counts as standing).
 */
public final class TokenTree {
    /** A limit: requests per second, how many may come at once, and the rate up to which it may borrow. */
    public record Rate(double perSecond, double burst, double ceiling) {
        public Rate {
            if (!(perSecond >= 0) || !(burst >= 1) || !(ceiling >= perSecond)) {
                throw new IllegalArgumentException(
                        "impossible rate: " + perSecond + " per second, burst " + burst + ", ceiling " + ceiling);
            }
        }
    }

    private static final class Node {
        private final Node parent;
        private final Rate rate;
        private double own; // tokens of its own rate; under 0 above: no lending
        private double ceiling; // tokens of its ceiling
        private long at = Long.MIN_VALUE;

        Node(Node parent, Rate rate) {
            this.parent = parent;
            this.rate = rate;
            this.own = rate.burst;
            this.ceiling = rate.burst;
        }

        void refresh(long now) {
            double seconds = at == Long.MIN_VALUE ? 0 : Math.max(0, now - at) / 1e6;
            at = Math.max(at, now);
            own = Math.min(rate.burst, own + rate.perSecond * seconds);
            ceiling = Math.min(rate.burst, ceiling + rate.ceiling * seconds);
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final String root;

    /** A tree of one node. */
    public TokenTree(String root, Rate rate) {
        this.root = root;
        nodes.put(root, new Node(null, rate));
    }

    /**
     * Adds a node.
     *
     * @throws IllegalArgumentException for a parent that there isn't, or a name that there is
     */
    public void add(String parent, String name, Rate rate) {
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

    /** Whether there is such a node. */
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
     * @throws IllegalArgumentException for a node that there isn't
     */
    public boolean take(long now, String name) {
        return take(now, name, 0);
    }

    /**
     * The same, where a part of the burst is kept for requests that are worth more.
     *
     * @param kept from 0 to under 1: the share of the node's burst that this request must leave
     */
    public boolean take(long now, String name, double kept) {
        Node leaf = node(name);
        for (Node n = leaf; n != null; n = n.parent) {
            n.refresh(now);
        }
        if (leaf.own < 1 + kept * (leaf.rate.burst - 1) && !mayBorrow(leaf, kept)) {
            return false;
        }
        leaf.own = Math.max(0, leaf.own - 1);
        leaf.ceiling -= 1;
        for (Node n = leaf.parent; n != null; n = n.parent) {
            n.own = Math.max(-n.rate.burst, n.own - 1); // a debt of one burst at most: it is soon forgotten
            n.ceiling = Math.max(0, n.ceiling - 1);
        }
        return true;
    }

    private static boolean mayBorrow(Node leaf, double kept) {
        for (Node n = leaf; n.parent != null && n.ceiling >= 1; n = n.parent) {
            if (n.parent.own >= 1 + kept * (n.parent.rate.burst - 1)) {
                return true;
            }
        }
        return false;
    }

    /** After what time (µs) a request at that node may pass by its own rate; the largest long where never. */
    public long wait(long now, String name) {
        Node leaf = node(name);
        leaf.refresh(now);
        double lacks = 1 - leaf.own;
        return lacks <= 0
                ? 0
                : leaf.rate.perSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(lacks / leaf.rate.perSecond * 1e6);
    }

    /**
     * Goes on from another tree, by name: a node begins with what its namesake had left, at most its own burst. So
     * limits that are changed often don't grant a burst each time.
     */
    public void restore(TokenTree former) {
        former.nodes.forEach((name, before) -> {
            Node node = nodes.get(name);
            if (node != null) {
                node.own = Math.min(node.rate.burst, before.own);
                node.ceiling = Math.min(node.rate.burst, before.ceiling);
                node.at = before.at;
            }
        });
    }
}
