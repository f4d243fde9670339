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

/** Base of the commands that read operator files. The result of {@link #call()} is the exit code. */
abstract class OperatorFileCommand implements Callable<Integer> {
    static final int EXIT_OK = 0;
    /** The request is rejected, or the files differ. */
    static final int EXIT_NEGATIVE = 1;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the balancer's own configuration, to check the names of classes and tenants against")
    private Path config;

    @Spec
    private CommandSpec spec;

    /**
     * Reads an operator file, and checks it against the balancer's configuration if that is given.
     *
     * @throws IllegalArgumentException if either file is invalid
     */
    OperatorConfig read(Path file) throws IOException {
        return OperatorReader.read(file, config == null ? SiteConfig.unknown() : OperatorFileLoader.site(config));
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
