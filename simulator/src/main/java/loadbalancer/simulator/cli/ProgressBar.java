package loadbalancer.simulator.cli;

import loadbalancer.simulator.experiment.Runner;

/** A progress bar, on a terminal only. */
final class ProgressBar implements Runner.Progress {
    private static final int WIDTH = 40;
    private final boolean shown = System.console() != null;

    @Override
    public synchronized void played(int done, int all) {
        if (shown) {
            int full = WIDTH * done / all;
            System.err.printf("\r[%s%s] %d/%d days", "#".repeat(full), " ".repeat(WIDTH - full), done, all);
        }
    }

    void end() {
        if (shown) {
            System.err.print("\r" + " ".repeat(WIDTH + 30) + "\r");
        }
    }
}
