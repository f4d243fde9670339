/** What the tests of several modules share. No program depends on it. */
package loadbalancer.testing;
