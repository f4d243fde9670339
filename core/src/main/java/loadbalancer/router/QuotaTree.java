package loadbalancer.router;

import loadbalancer.limits.RateLimit;
import loadbalancer.limits.TokenBucketTree;
import loadbalancer.routes.Route;

/**
 * The site's quotas as one tree of rates. The root is the site; below it are the named tenants and one node for all
 * other tenants; below a tenant are its routes.
 */
final class QuotaTree {
    // These cannot clash with a tenant or route: their names are not empty and contain no slash.
    private static final String SITE = "";
    private static final String OTHERS = "/";

    private final QuotaConfig config;
    private final TokenBucketTree tree; // null if there are no quotas

    /**
     * Creates quotas with full token buckets.
     *
     * @param instances number of balancers that share the rates equally; they do not exchange what is left
     */
    QuotaTree(QuotaConfig config, int instances) {
        this.config = config;
        this.tree = config.site() == null ? null : tree(config, instances);
    }

    private static TokenBucketTree tree(QuotaConfig config, int instances) {
        TokenBucketTree tree = new TokenBucketTree(SITE, config.site().dividedBy(instances));
        if (config.others() != null) {
            tree.add(SITE, OTHERS, config.others().dividedBy(instances));
        }
        config.tenants().forEach((tenant, quota) -> {
            tree.add(SITE, tenant, quota.rate().dividedBy(instances));
            for (var route : quota.routes().entrySet()) {
                RateLimit rate = route.getValue().dividedBy(instances);
                tree.add(tenant, routeNode(tenant, route.getKey()), rate);
            }
        });
        return tree;
    }

    private static String routeNode(String tenant, String route) {
        return tenant + "/" + route;
    }

    /**
     * Returns the node that a request counts at, or null if there are no quotas.
     *
     * @param tenant null if the request names none
     * @param route null if no route takes the request
     */
    String node(String tenant, Route route) {
        if (tree == null) {
            return null;
        }
        if (tenant == null
                || tenant.equals(OTHERS)
                || tenant.isEmpty()
                || !config.tenants().containsKey(tenant)) {
            return tree.has(OTHERS) ? OTHERS : SITE;
        }
        String routeNode = route == null ? null : routeNode(tenant, route.name());
        return routeNode != null && tree.has(routeNode) ? routeNode : tenant;
    }

    /** Counts a request at a node; returns false if the node is over its rate. A null node always has room. */
    boolean tryTake(long nowMicros, String node, double reservedFraction) {
        return node == null || tree.tryTake(nowMicros, node, reservedFraction);
    }

    /** Returns after how many microseconds a request at that node may pass. */
    long waitMicros(long nowMicros, String node) {
        return tree.waitMicros(nowMicros, node);
    }

    /** Takes over the state of the nodes that have the same names in a former tree. */
    void restore(QuotaTree former) {
        if (tree != null && former.tree != null) {
            tree.restore(former.tree);
        }
    }

    /** Returns a description for operators of the quota that a request counts at, or null if there is none. */
    String describe(String tenant, Route route) {
        String node = node(tenant, route);
        if (node == null) {
            return null;
        }
        if (node.equals(SITE)) {
            return "the site's";
        }
        if (node.equals(OTHERS)) {
            return "that of all others";
        }
        return "that of tenant '" + tenant + "'" + (node.contains("/") ? " on this route" : "");
    }
}
