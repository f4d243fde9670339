package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Reads the operating system's limit on this process's descriptors. */
final class DescriptorLimit {
    /** What is read where there is no limit, or none is known. */
    static final int UNLIMITED = Integer.MAX_VALUE;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "max open files";
    private static final int SOFT_LIMIT_COLUMN = 3;

    private DescriptorLimit() {}

    /** Returns the soft limit. Read without the JDK's management classes, which would make a start longer. */
    static int read() {
        try {
            for (String line : Files.readAllLines(LIMITS_FILE)) {
                if (line.toLowerCase(Locale.ROOT).startsWith(LIMIT_NAME)) {
                    String softLimit = line.trim().split("\\s+")[SOFT_LIMIT_COLUMN];
                    return (int) Math.min(UNLIMITED, Long.parseLong(softLimit));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return UNLIMITED; // the word "unlimited", or a system without this file
        }
        return UNLIMITED;
    }
}
