// Package experiment measures goodput through shifts of the mix. It runs seeded workloads in virtual time through the
// same placement and role plan that routers use, on the engine model of the stand-ins, and compares policies with
// baselines in the same run. Nothing in it reads the clock or sleeps: a run is a function of its seed.
package experiment
