/** The simulator on sockets: stand-ins, faults between connections and load, all on loopback. */
package loadbalancer.simulator.sockets;
