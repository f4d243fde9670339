package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.OperatorReader;
import loadbalancer.operator.SiteConfig;
import loadbalancer.settings.BootSettings;
import loadbalancer.toml.ConfigException;

/**
 * Reads an operator file against the platform's configuration. Stateless. A process loads this class only where it is
 * given such a file.
 */
public final class OperatorFileLoader {
    private OperatorFileLoader() {}

    /**
     * Reads an operator file for a process with those settings.
     *
     * @throws ProcessConfigException where it cannot be used
     */
    static OperatorConfig read(Path file, BootSettings settings) {
        try {
            return OperatorReader.read(file, site(settings));
        } catch (ConfigException e) {
            throw new ProcessConfigException("operator file: " + String.join("; ", e.lines()), e);
        } catch (IOException e) {
            throw new ProcessConfigException("operator file: can't read " + file + ": " + e.getMessage(), e);
        }
    }

    private static SiteConfig site(BootSettings settings) {
        return new SiteConfig(
                settings.classes(),
                settings.tenants().isEmpty() ? null : settings.tenants(),
                settings.policySettings().balancers(),
                settings.policySettings().limits().maxRetryAfterMicros());
    }

    /**
     * Returns what a balancer's configuration says that an operator file must fit.
     *
     * @throws IllegalArgumentException for a configuration that cannot be used, in one line
     */
    public static SiteConfig site(Path config) {
        try {
            return site(BalancerConfigReader.readForCheck(config).boot());
        } catch (ProcessConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
