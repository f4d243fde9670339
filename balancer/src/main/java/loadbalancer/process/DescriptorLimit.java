package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Reads the operating system's limit on the file descriptors of this process. */
final class DescriptorLimit {
    /** The result where there is no limit or it cannot be read. */
    static final int UNLIMITED = Integer.MAX_VALUE;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "max open files";
    private static final int SOFT_LIMIT_COLUMN = 3;

    private DescriptorLimit() {}

    /** Returns the soft limit. It is not read through the JDK's management classes, as loading them slows the start. */
    static int read() {
        try {
            for (String line : Files.readAllLines(LIMITS_FILE)) {
                if (line.toLowerCase(Locale.ROOT).startsWith(LIMIT_NAME)) {
                    String softLimit = line.trim().split("\\s+")[SOFT_LIMIT_COLUMN];
                    return (int) Math.min(UNLIMITED, Long.parseLong(softLimit));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return UNLIMITED; // the value is "unlimited", or the system has no such file
        }
        return UNLIMITED;
    }
}
