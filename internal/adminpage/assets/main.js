// Polls the gateway every second and shows a banner while it does not respond.
import { followDecisions } from "./decisions.js";
import { find } from "./dom.js";
import { showFleet } from "./fleet.js";
import { clock } from "./words.js";

const pollInterval = 1000;
const pollTimeout = 3000;
const paths = {
  status: "status", workers: "workers", groups: "groups", rules: "rules", gateways: "gateways",
};

let lastUpdate = null;

async function fetchStatus(path) {
  const response = await fetch(`admin/v1/${path}`, { signal: AbortSignal.timeout(pollTimeout), cache: "no-store" });
  if (!response.ok) throw new Error(`${path}: the gateway returned ${response.status} ${response.statusText}`);
  return response.json();
}

async function poll() {
  const names = Object.keys(paths);
  const responses = await Promise.all(names.map((name) => fetchStatus(paths[name])));
  showFleet(Object.fromEntries(names.map((name, index) => [name, responses[index]])));
  lastUpdate = new Date();
}

function showConnection(error) {
  document.body.classList.toggle("stale", Boolean(error));
  const banner = find("connection");
  if (!error) {
    banner.hidden = true;
    return;
  }
  const since = lastUpdate ? `The data shown is from ${clock(lastUpdate)}.` : "No data has been received yet.";
  const text = `The gateway does not respond. ${since} Retrying every second.`;
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
