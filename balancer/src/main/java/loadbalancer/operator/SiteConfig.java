package loadbalancer.operator;

import java.util.List;

/**
 * The part of the platform's configuration that the operator file must be consistent with.
 *
 * @param classes names of the request classes; null if they are unknown and can't be checked
 * @param tenants names of the tenants; null if they are unknown and can't be checked
 * @param instances number of balancers of the site
 * @param maxRetryAfterMicros the longest {@code Retry-After} that clients observe; 0 if it is unknown
 */
public record SiteConfig(List<String> classes, List<String> tenants, int instances, long maxRetryAfterMicros) {
    /** Returns the configuration for a file that is checked without the platform's. */
    public static SiteConfig unknown() {
        return new SiteConfig(null, null, 1, 0);
    }
}
