package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.OperatorReader;
import loadbalancer.operator.SiteConfig;
import loadbalancer.settings.SettingsReader;
import loadbalancer.toml.ConfigException;

/** Reads the operator file against the platform's configuration. Loaded only where there is such a file. */
public final class OperatorFileLoader {
    private OperatorFileLoader() {}

    public static OperatorConfig read(Path file, SettingsReader.Boot boot) {
        try {
            return OperatorReader.read(file, site(boot));
        } catch (ConfigException e) {
            throw new BalancerConfig.Bad("operator file: " + String.join("; ", e.lines()));
        } catch (IOException e) {
            throw new BalancerConfig.Bad("operator file: can't read " + file + ": " + e.getMessage());
        }
    }

    private static SiteConfig site(SettingsReader.Boot boot) {
        return new SiteConfig(
                boot.classes(),
                boot.tenants().isEmpty() ? null : boot.tenants(),
                boot.settings().balancers(),
                boot.settings().limits().maxRetryAfterMicros());
    }

    /**
     * What a balancer's configuration says that an operator file must fit.
     *
     * @throws IllegalArgumentException for a configuration that can't be used, in one line
     */
    public static SiteConfig site(Path config) {
        try {
            return site(BalancerConfig.read(Map.of(
                            "ROUTER_CONFIG",
                            config.toString(),
                            "ROUTER_NAME",
                            "check",
                            "ROUTER_LISTEN",
                            "127.0.0.1:0",
                            "ROUTER_DISCOVERY",
                            "127.0.0.1:0"))
                    .boot());
        } catch (BalancerConfig.Bad e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
