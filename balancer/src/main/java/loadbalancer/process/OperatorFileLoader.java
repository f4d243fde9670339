package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.OperatorReader;
import loadbalancer.operator.SiteConfig;
import loadbalancer.settings.BootSettings;
import loadbalancer.toml.ConfigException;

/**
 * Reads an operator file and checks it against the balancer's configuration. Stateless. A process loads this class only
 * if it is given an operator file.
 */
public final class OperatorFileLoader {
    private OperatorFileLoader() {}

    /**
     * Reads an operator file for a process with the given settings.
     *
     * @throws ProcessConfigException if the file cannot be read or is invalid
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
     * Returns the part of a balancer's configuration that operator files are checked against.
     *
     * @throws IllegalArgumentException if the configuration cannot be read or is invalid; the message is one line
     */
    public static SiteConfig site(Path config) {
        try {
            return site(BalancerConfigReader.readForCheck(config).boot());
        } catch (ProcessConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
