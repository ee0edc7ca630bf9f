// Package roleplan decides how many engines of one group and model should have each role, and which engines to change.
//
// It is a pure planner, asked every few seconds. It knows the demand by fast and slow averages, the queues, what
// engines of each role can do, and what a change costs. It takes the split of roles with the highest expected goodput
// over the horizon in which a change must pay for itself, less the cost of the changes, and it changes nothing when the
// gain is not sure.
package roleplan
