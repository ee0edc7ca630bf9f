// Asks the gateway each second and says so when it does not answer.
import { followDecisions } from "./decisions.js";
import { find } from "./dom.js";
import { showFleet } from "./fleet.js";
import { clock } from "./words.js";

const pollInterval = 1000;
const pollTimeout = 3000;
const paths = {
  status: "status", workers: "workers", groups: "groups", rules: "rules", gateways: "gateways",
};

let lastAnswer = null;

async function ask(path) {
  const response = await fetch(`admin/v1/${path}`, { signal: AbortSignal.timeout(pollTimeout), cache: "no-store" });
  if (!response.ok) throw new Error(`${path}: the gateway answered ${response.status} ${response.statusText}`);
  return response.json();
}

async function poll() {
  const names = Object.keys(paths);
  const answers = await Promise.all(names.map((name) => ask(paths[name])));
  showFleet(Object.fromEntries(names.map((name, index) => [name, answers[index]])));
  lastAnswer = new Date();
}

function showConnection(error) {
  document.body.classList.toggle("stale", Boolean(error));
  const banner = find("connection");
  if (!error) {
    banner.hidden = true;
    return;
  }
  const since = lastAnswer ? `What you see is from ${clock(lastAnswer)}.` : "Nothing is known of the fleet yet.";
  const text = `The gateway does not answer. ${since} Trying again each second.`;
  if (banner.textContent !== text) banner.textContent = text;
  banner.hidden = false;
  console.warn(error);
}

async function loop() {
  if (!document.hidden) await poll().then(() => showConnection(null), showConnection);
  setTimeout(loop, pollInterval);
}

followDecisions();
loop();
