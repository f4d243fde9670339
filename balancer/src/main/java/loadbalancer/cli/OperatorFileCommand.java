package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.OperatorReader;
import loadbalancer.operator.SiteConfig;
import loadbalancer.process.OperatorFileLoader;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What the commands that read operator files share. Its result is the exit code. */
abstract class OperatorFileCommand implements Callable<Integer> {
    static final int EXIT_OK = 0;
    /** A request that is refused, or files that differ. */
    static final int EXIT_NEGATIVE = 1;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the balancer's own configuration: names of classes and tenants are held against it")
    private Path config;

    @Spec
    private CommandSpec spec;

    /**
     * Reads an operator file, against the balancer's configuration where that is given.
     *
     * @throws IllegalArgumentException where either can't be used
     */
    OperatorConfig read(Path file) throws IOException {
        return OperatorReader.read(file, config == null ? SiteConfig.unknown() : OperatorFileLoader.site(config));
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
