package loadbalancer.router;

import loadbalancer.limits.RateLimit;
import loadbalancer.limits.TokenBucketTree;
import loadbalancer.routes.Route;

/** The site's quotas as one tree of rates: the site, tenants and all others below it, routes below tenants. */
final class QuotaTree {
    // No tenant or route has an empty name, or one with a slash.
    private static final String SITE = "";
    private static final String OTHERS = "/";

    private final QuotaConfig config;
    private final TokenBucketTree tree; // null where there are no quotas

    /**
     * Creates quotas of which nothing is used.
     *
     * @param instances balancers that share the rates equally, without telling one another what is left
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
     * The node that a request counts at; null where there are no quotas.
     *
     * @param tenant null where the request names none
     * @param route null where none takes the request
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

    /** Counts a request at a node; false where that is over its rate. Null, for no quotas, always passes. */
    boolean passes(long nowMicros, String node, double reservedFraction) {
        return node == null || tree.tryTake(nowMicros, node, reservedFraction);
    }

    /** After how many microseconds a request at that node may pass. */
    long waitMicros(long nowMicros, String node) {
        return tree.waitMicros(nowMicros, node);
    }

    /** Goes on from another tree, by the names of its nodes. */
    void restore(QuotaTree former) {
        if (tree != null && former.tree != null) {
            tree.restore(former.tree);
        }
    }

    /** Names the quota that a request counts at, for operators; null where there is none. */
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
