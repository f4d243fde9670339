package loadbalancer.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.TenantQuotaConfig;
import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads the table {@code [quota]}. */
final class QuotaReader {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final SiteConfig site;
    private final NameRegistry routes;
    private final List<String> notes;

    /** Creates a reader; {@code routes} must contain all routes of the file, {@code notes} receives notes. */
    QuotaReader(SiteConfig site, NameRegistry routes, List<String> notes) {
        this.site = site;
        this.routes = routes;
        this.notes = notes;
    }

    QuotaConfig read(Section root) {
        if (!root.has("quota")) {
            return QuotaConfig.none();
        }
        Section section = root.table("quota");
        Map<String, TenantQuotaConfig> tenants = new LinkedHashMap<>();
        Section tenantTables = section.table("tenant");
        double rateSum = 0;
        for (String tenant : tenantTables.keys()) {
            TenantQuotaConfig quota = tenantQuota(tenant, tenantTables.table(tenant));
            tenants.put(tenant, quota);
            rateSum += quota.rate().perSecond();
        }
        RateLimit others = section.has("others") ? RateReader.read(section.table("others")) : null;
        rateSum += others == null ? 0 : others.perSecond();
        RateLimit siteRate = RateReader.read(section);
        if (rateSum > siteRate.perSecond() * (1 + ROUNDING_TOLERANCE)) {
            notes.add(section.location("") + ": note: the tenants' rates add up to " + Units.RATE.format(rateSum)
                    + ", over the site's " + Units.RATE.format(siteRate.perSecond())
                    + ": all tenants together may exceed the site's rate");
        }
        return new QuotaConfig(siteRate, tenants, others);
    }

    private TenantQuotaConfig tenantQuota(String tenant, Section section) {
        if (!HttpToken.isToken(tenant)) {
            section.fault("", "'" + tenant + "' is not a valid tenant name");
        }
        if (site.tenants() != null) {
            NameRegistry.require(section, "", "tenant", tenant, site.tenants());
        }
        Map<String, RateLimit> routeRates = new LinkedHashMap<>();
        Section routeTables = section.table("route");
        for (String route : routeTables.keys()) {
            routes.require(routeTables, route, route);
            routeRates.put(route, RateReader.read(routeTables.table(route)));
        }
        return new TenantQuotaConfig(RateReader.read(section), routeRates);
    }
}
