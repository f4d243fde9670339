package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.operator.ConfigDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Describes what changes for a running balancer if one operator file replaces another. */
@Command(
        name = "diff",
        description = "Describes what changes if NEW replaces OLD; exits with 1 if anything does.",
        mixinStandardHelpOptions = true)
final class DiffCommand extends OperatorFileCommand {
    @Parameters(index = "0", paramLabel = "OLD")
    private Path oldFile;

    @Parameters(index = "1", paramLabel = "NEW")
    private Path newFile;

    @Override
    public Integer call() throws IOException {
        List<String> changes = ConfigDiff.between(read(oldFile), read(newFile));
        changes.forEach(out()::println);
        if (changes.isEmpty()) {
            out().println("nothing changes in service");
        }
        return changes.isEmpty() ? EXIT_OK : EXIT_NEGATIVE;
    }
}
