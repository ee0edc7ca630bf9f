// Package capacity measures what control costs one router at growing sizes of the fleet.
//
// A few routers are real cores (internal/router); the others are hollow: they run the real cores of membership and
// configuration, and send what a router sends to its peers, but know no engines. All run on virtual time in one thread,
// before a model of the platform and hollow engines. No requests of callers run. What a real router sends and receives
// is counted whole: messages to peers as Protocol Buffers, the platform and the engines as JSON, without headers of HTTP.
package capacity
