// The words of the page for the terms of the API.

// kinds of decisions. Routine ones come with every request.
export const kinds = {
  role: { words: "Change of a role" },
  authority: { words: "Right to give orders" },
  configuration: { words: "Configuration in force" },
  health: { words: "Worker set aside" },
  entry: { words: "Takes requests, or stands by" },
  usage: { words: "Usage of a window reported" },
  capacity: { words: "Workers ordered" },
  bar: { words: "Requests that end workers" },
  store: { words: "The store came back older" },
  refusal: { words: "Request given up before it ran" },
  request: { words: "Request ended", routine: true },
};

export const kindWords = (kind) => kinds[kind]?.words ?? kind;

// workerStates are a word, a sign that tells it without colour, and a class.
const workerStates = {
  ready: ["ready", "●", "good"],
  draining: ["on its way out", "◐", "busy"],
  changing: ["changes its role", "◌", "busy"],
  "set-aside": ["set aside after failures", "✕", "bad"],
  "back-off": ["asked for no requests for a time", "◌", "busy"],
};

const words = (states, state) => states[state] ?? [state, "?", "busy"];
export const workerState = (state) => words(workerStates, state);

// count writes a number with its noun, as in "1 worker", "2 workers".
export const count = (number, noun) => `${number} ${noun}${number === 1 ? "" : "s"}`;

// counts writes numbers by name, as in "4 ready, 1 draining".
export const counts = (byName) => Object.keys(byName ?? {}).sort().map((name) => `${byName[name]} ${name || "without a role"}`).join(", ");

// clock writes the time of day.
export function clock(time, millis = false) {
  const date = new Date(time);
  const text = date.toLocaleTimeString("en-GB");
  return millis ? `${text}.${String(date.getMilliseconds()).padStart(3, "0")}` : text;
}
