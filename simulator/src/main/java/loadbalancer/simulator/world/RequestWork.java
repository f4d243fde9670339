package loadbalancer.simulator.world;

/** The work of an attempt, in µs of a standard core, and the index of its key or -1 for none. */
record RequestWork(double work, int key) {}
