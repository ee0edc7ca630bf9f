// Package placement chooses the engine that runs one request. It is a pure function in three stages, in the manner of
// the Kubernetes scheduler: filters remove engines that cannot take the request, scores estimate what each remaining
// engine would cost, and the pick takes the cheapest.
//
// All scores have one unit: seconds of expected delay, of the request itself or imposed on others. So an engine that
// caches the prompt is worth exactly the reading time that it saves, and a hot prefix spills over to other engines as
// soon as the queue of its engine costs more than that.
package placement
