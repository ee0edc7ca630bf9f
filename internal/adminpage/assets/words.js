// Display texts for terms of the API.

// Kinds of decisions. Routine kinds are recorded for every request.
export const kinds = {
  role: { label: "Role change" },
  authority: { label: "Authority to order role changes" },
  configuration: { label: "Configuration change" },
  health: { label: "Worker excluded after failures" },
  entry: { label: "Gateway active or on standby" },
  usage: { label: "Usage report" },
  capacity: { label: "Workers ordered" },
  bar: { label: "Barred requests" },
  store: { label: "Store restored to an older state" },
  refusal: { label: "Request refused" },
  request: { label: "Request completed", routine: true },
};

export const kindLabel = (kind) => kinds[kind]?.label ?? kind;

// States of workers: label, symbol (so that colour is not the only cue) and CSS class.
const workerStates = {
  ready: ["ready", "●", "good"],
  draining: ["draining", "◐", "busy"],
  changing: ["changing role", "◌", "busy"],
  "set-aside": ["excluded after failures", "✕", "bad"],
  "back-off": ["requested back-off", "◌", "busy"],
};

const lookUp = (states, state) => states[state] ?? [state, "?", "busy"];
export const workerState = (state) => lookUp(workerStates, state);

// count formats a number with its noun, as in "1 worker", "2 workers".
export const count = (number, noun) => `${number} ${noun}${number === 1 ? "" : "s"}`;

// counts formats numbers by name, as in "4 ready, 1 draining".
export const counts = (byName) => Object.keys(byName ?? {}).sort().map((name) => `${byName[name]} ${name || "without role"}`).join(", ");

// clock formats the time of day.
export function clock(time, millis = false) {
  const date = new Date(time);
  const text = date.toLocaleTimeString("en-GB");
  return millis ? `${text}.${String(date.getMilliseconds()).padStart(3, "0")}` : text;
}
