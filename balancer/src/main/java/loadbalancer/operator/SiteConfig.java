package loadbalancer.operator;

import java.util.List;

/**
 * What the platform's own configuration says, as far as the operator file must fit it.
 *
 * @param classes names of the request classes; null where they are not at hand and can't be checked
 * @param tenants names of the tenants; null likewise
 * @param instances balancers of the site
 * @param maxRetryAfterMicros the longest {@code Retry-After} that clients observe; 0 where that is not known
 */
public record SiteConfig(List<String> classes, List<String> tenants, int instances, long maxRetryAfterMicros) {
    /** For a file that is checked without the platform's configuration. */
    public static SiteConfig unknown() {
        return new SiteConfig(null, null, 1, 0);
    }
}
