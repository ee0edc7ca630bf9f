// Package simulation runs the cores of agents and routers, with model engines and a model platform, on one virtual
// clock. Network, processes, platform and engines fail as a schedule says that is drawn from a seed. Checkers then
// judge the run by what can be seen from outside only: what callers got, what engines ran and were ordered, and what
// the store holds. One seed gives the same events in the same order at every run.
package simulation
