package loadbalancer.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of a file with all that it includes, as one tree, and where each key of it stands. The TOML
 * library keeps no places, so they are found by a scan for table heads and keys at line starts.
 */
public final class Source {
    private static final Pattern HEAD = Pattern.compile("^\\s*\\[(\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?$");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"-]+)\\s*=");
    private static final String INCLUDE = "include";

    private final Map<String, String> places = new HashMap<>();
    private final Map<String, Integer> order = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final Path file;
    private ObjectNode tree;

    private Source(Path file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @throws Faults where it, or what it includes, can't be read as TOML
     */
    public static Source read(Path file) throws IOException {
        Source s = new Source(file);
        s.tree = s.load(file, new ArrayList<>());
        return s;
    }

    /** All of it; the root of every section. */
    public ObjectNode tree() {
        return tree;
    }

    private ObjectNode load(Path from, List<Path> chain) throws IOException {
        Path path = from.toAbsolutePath().normalize();
        if (chain.contains(path)) {
            throw new Faults(List.of(chain.get(chain.size() - 1).getFileName() + ":1: include of " + from.getFileName()
                    + " loops: a file that is being read includes itself"));
        }
        if (!Files.isReadable(from)) {
            throw new Faults(List.of(from + ":1: no such file can be read"));
        }
        chain.add(path);
        ObjectNode own;
        try {
            JsonNode read = new TomlMapper().readTree(Files.readString(from));
            own = read instanceof ObjectNode o ? o : new TomlMapper().createObjectNode();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new Faults(List.of(from.getFileName() + ":" + line + ": " + plain(e.getOriginalMessage())));
        }
        JsonNode include = own.remove(INCLUDE);
        if (include != null) {
            ObjectNode base = load(from.resolveSibling(include.asText()), chain);
            scan(from);
            chain.remove(path);
            return merged(base, own);
        }
        scan(from);
        chain.remove(path);
        return own;
    }

    private static String plain(String message) {
        return switch (message) {
            case "Unknown token" -> "neither a number, true or false, nor a text, which stands in quotes";
            case "Table redefined" -> "this table is there already";
            case "Duplicate key" -> "this key is there already";
            case "Premature end of file" -> "the file ends before what was begun: a bracket or a quote is missing";
            default -> message;
        };
    }

    // Tables are merged key by key, all else is replaced: troubles of the file stand for those of what it includes.
    private static ObjectNode merged(ObjectNode base, ObjectNode over) {
        for (Map.Entry<String, JsonNode> e : List.copyOf(over.properties())) {
            if (e.getValue() instanceof ObjectNode own && base.get(e.getKey()) instanceof ObjectNode former) {
                merged(former, own);
            } else {
                base.set(e.getKey(), e.getValue());
            }
        }
        return base;
    }

    private void scan(Path from) throws IOException {
        Map<String, Integer> counts = new LinkedHashMap<>();
        String table = "";
        int number = 0;
        for (String line : Files.readAllLines(from)) {
            number++;
            Matcher head = HEAD.matcher(line);
            Matcher key = KEY.matcher(line);
            if (head.matches()) {
                table = head.group(2);
                if (!head.group(1).isEmpty()) {
                    table += "[" + (counts.merge(table, 1, Integer::sum) - 1) + "]";
                }
                places.put(table, from.getFileName() + ":" + number);
                order.put(table, number);
            } else if (key.find()) {
                String path = (table.isEmpty() ? "" : table + ".") + key.group(1);
                places.put(path, from.getFileName() + ":" + number);
                order.put(path, number);
            }
        }
    }

    /** Notes a fault at a key, or at the table that should hold it. */
    public void fault(String path, String what) {
        faults.add(place(path) + ": " + what);
    }

    /** Where a key stands, or the table that should hold it: {@code FILE:LINE}. */
    public String place(String path) {
        String at = path;
        while (!at.isEmpty() && !places.containsKey(at)) {
            int cut = at.endsWith("]") ? at.lastIndexOf('[') : at.lastIndexOf('.');
            at = cut < 0 ? "" : at.substring(0, cut);
        }
        return places.getOrDefault(at, file.getFileName() + ":1");
    }

    /** Ends the reading: all faults at once, in the order of their lines. */
    public void check() {
        if (!faults.isEmpty()) {
            TreeMap<Integer, List<String>> sorted = new TreeMap<>();
            for (String f : faults) {
                sorted.computeIfAbsent(Integer.valueOf(f.split(":")[1]), n -> new ArrayList<>())
                        .add(f);
            }
            throw new Faults(sorted.values().stream().flatMap(List::stream).toList());
        }
    }
}
