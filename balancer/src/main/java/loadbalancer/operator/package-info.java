/** The operator file: routes, pools and limits, read strictly before any of it binds. */
package loadbalancer.operator;
