package loadbalancer.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A TOML file merged with the files that it includes, and the faults that are found in it. The key {@code include} at
 * the root names a file whose keys this file adds to or replaces.
 */
public final class Source {
    private static final String INCLUDE = "include";
    private static final int LINE_PART = 1; // index of LINE in the parts of FILE:LINE: description

    private final KeyLocations locations;
    private final List<String> faults = new ArrayList<>();
    private ObjectNode tree;

    private Source(Path file) {
        this.locations = new KeyLocations(file);
    }

    /**
     * Reads a file.
     *
     * @throws ConfigException if the file, or one that it includes, is missing or not valid TOML
     * @throws IOException if reading fails
     */
    public static Source read(Path file) throws IOException {
        Source source = new Source(file);
        source.tree = source.load(file, new ArrayList<>());
        return source;
    }

    /** Returns the root table of the merged file. */
    public ObjectNode tree() {
        return tree;
    }

    private ObjectNode load(Path file, List<Path> includingFiles) throws IOException {
        Path path = file.toAbsolutePath().normalize();
        if (includingFiles.contains(path)) {
            Path last = includingFiles.get(includingFiles.size() - 1).getFileName();
            throw new ConfigException(List.of(last + ":1: include of " + file.getFileName()
                    + " forms a cycle: the file includes itself, directly or through others"));
        }
        if (!Files.isReadable(file)) {
            throw new ConfigException(List.of(file + ":1: file does not exist or is not readable"));
        }
        includingFiles.add(path);
        ObjectNode own = parse(file);
        JsonNode include = own.remove(INCLUDE);
        ObjectNode base = include == null ? null : load(file.resolveSibling(include.asText()), includingFiles);
        locations.scan(file); // after the included files, whose locations it replaces
        includingFiles.remove(path);
        return base == null ? own : merge(base, own);
    }

    private static ObjectNode parse(Path file) throws IOException {
        try {
            JsonNode root = new TomlMapper().readTree(Files.readString(file));
            return root instanceof ObjectNode table ? table : new TomlMapper().createObjectNode();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new ConfigException(
                    List.of(file.getFileName() + ":" + line + ": " + explain(e.getOriginalMessage())));
        }
    }

    private static String explain(String libraryMessage) {
        return switch (libraryMessage) {
            case "Unknown token" -> "invalid value: expected a number, true, false or a string in quotes";
            case "Table redefined" -> "table is defined twice";
            case "Duplicate key" -> "key is defined twice";
            case "Premature end of file" -> "unexpected end of file: a bracket or a quote is not closed";
            default -> libraryMessage;
        };
    }

    /** Merges tables key by key; any other value of {@code overriding} replaces the one in {@code base}. */
    private static ObjectNode merge(ObjectNode base, ObjectNode overriding) {
        for (Map.Entry<String, JsonNode> entry : List.copyOf(overriding.properties())) {
            if (entry.getValue() instanceof ObjectNode ownTable
                    && base.get(entry.getKey()) instanceof ObjectNode includedTable) {
                merge(includedTable, ownTable);
            } else {
                base.set(entry.getKey(), entry.getValue());
            }
        }
        return base;
    }

    /** Records a fault at a key, or at the table that should contain it. */
    public void fault(String path, String description) {
        faults.add(location(path) + ": " + description);
    }

    /** Returns the location of a key, or of the table that should contain it, as {@code FILE:LINE}. */
    public String location(String path) {
        return locations.location(path);
    }

    /**
     * Throws an exception if faults have been recorded.
     *
     * @throws ConfigException with all faults, in the order of their lines
     */
    public void throwIfFaulty() {
        if (faults.isEmpty()) {
            return;
        }
        TreeMap<Integer, List<String>> byLine = new TreeMap<>();
        for (String fault : faults) {
            byLine.computeIfAbsent(Integer.valueOf(fault.split(":")[LINE_PART]), line -> new ArrayList<>())
                    .add(fault);
        }
        throw new ConfigException(byLine.values().stream().flatMap(List::stream).toList());
    }
}
