// The words of the page for the terms of the API.

// kinds of decisions. Routine ones come with every request.
export const kinds = {
  plan: { words: "New role plan" },
  drain: { words: "Engine takes no new work" },
  order: { words: "Order sent to an engine" },
  withdraw: { words: "Change given up" },
  engine: { words: "State of an engine" },
  ownership: { words: "Authority over engines" },
  configuration: { words: "Configuration in force" },
  membership: { words: "State of a router" },
  shed: { words: "Request given up before it ran" },
  retry: { words: "Request sent again" },
  claim: { words: "Engine fixed for a request that must not run twice", routine: true },
  route: { words: "Request sent to an owner", routine: true },
  queue: { words: "Request put in a queue", routine: true },
  dispatch: { words: "Request given to an engine", routine: true },
  outcome: { words: "Request ended", routine: true },
};

export const kindWords = (kind) => kinds[kind]?.words ?? kind;

// engineStates are a word, a sign that tells it without colour, and a class.
const engineStates = {
  ready: ["ready", "●", "good"],
  draining: ["finishes its work before a change", "◐", "busy"],
  changing: ["changes its role or model", "◌", "busy"],
  starting: ["starts", "◌", "busy"],
  leaving: ["on its way out", "◐", "busy"],
  unreachable: ["does not answer", "✕", "bad"],
  "set-aside": ["set aside after faults", "✕", "bad"],
  unknown: ["not known: its owner did not answer", "?", "bad"],
};

const routerStates = {
  alive: ["alive", "●", "good"],
  suspect: ["perhaps gone", "?", "busy"],
  leaving: ["on its way out", "◐", "busy"],
  dead: ["gone", "✕", "bad"],
};

const words = (states, state) => states[state] ?? [state, "?", "busy"];
export const engineState = (state) => words(engineStates, state);
export const routerState = (state) => words(routerStates, state);

// count writes a number with its noun, as in "1 engine", "2 engines".
export const count = (number, noun) => `${number} ${noun}${number === 1 ? "" : "s"}`;

// counts writes numbers by name, as in "4 ready, 1 draining".
export const counts = (byName) => Object.keys(byName ?? {}).sort().map((name) => `${byName[name]} ${name || "without a role"}`).join(", ");

// clock writes the time of day.
export function clock(time, millis = false) {
  const date = new Date(time);
  const text = date.toLocaleTimeString("en-GB");
  return millis ? `${text}.${String(date.getMilliseconds()).padStart(3, "0")}` : text;
}
