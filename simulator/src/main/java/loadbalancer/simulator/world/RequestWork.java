package loadbalancer.simulator.world;

/** What an attempt asks of an upstream: µs of a standard core, and the key it concerns or -1. */
record RequestWork(double work, int key) {}
