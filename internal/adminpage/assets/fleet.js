// Shows zones, workers, groups, rules and gateways.
import { element, find, table } from "./dom.js";
import { count, counts, workerState } from "./words.js";

// maxWorkersPerZone limits the workers that are shown for one zone.
const maxWorkersPerZone = 24;

export function showFleet({ status, workers, groups, rules, gateways }) {
  find("seen-from").textContent = `seen from ${status.gateway} in ${status.zone}, version ${status.version}` +
    (status.stopping ? "; this gateway is shutting down" : status.ready ? "" : "; this gateway is not ready");
  find("summary").textContent = summary(status);
  find("warnings").replaceChildren(...(status.warnings ?? []).map((warning) => element("li", "", warning)));
  find("groups").replaceChildren(...groups.map(group));
  find("zones").replaceChildren(...zones(workers));
  find("rules").replaceChildren(table(ruleColumns, rules));
  find("gateways").replaceChildren(table(gatewayColumns, gateways));
}

function summary(status) {
  return `Workers: ${counts(status.workers) || "none"}. ${count(status.gateways, "gateway")}, ${status.entries} of them accept callers. ` +
    `${count(status.inHand, "request")} in progress here. Routes version ${status.routeVersion} and label configuration revision ${status.revision} ` +
    `are in use here; in sync with the store ${status.storeAgeMillis} ms ago.` +
    (status.givesOrders ? " This gateway orders role changes." : "");
}

function group(item) {
  const workers = element("p", "", `${count(item.workers, "worker")}: ${counts(item.roles) || "none"}`);
  const work = element("p", "quiet", `${item.running} running, ${item.readingTokens} prompt tokens to process` + (item.of ? `; selected from ${item.of}` : ""));
  return element("div", "group", element("h3", "", item.name), workers, work);
}

function zones(workers) {
  const byZone = new Map();
  for (const item of workers) byZone.set(item.zone, [...(byZone.get(item.zone) ?? []), item]);
  return [...byZone.keys()].sort().map((name) => zone(name, byZone.get(name)));
}

function zone(name, workers) {
  const running = workers.reduce((sum, item) => sum + item.running, 0);
  const hidden = workers.length - maxWorkersPerZone;
  return element("div", "zone",
    element("h3", "", `${name}: ${count(workers.length, "worker")}, ${count(running, "request")} running`),
    element("ul", "workers", ...workers.slice(0, maxWorkersPerZone).map(worker)),
    hidden > 0 ? element("p", "quiet", `and ${hidden} more; run granitebay get workers to list all`) : null);
}

function worker(item) {
  const [label, symbol, className] = workerState(item.state);
  const used = item.slots > 0 ? Math.min(100, Math.round((100 * item.running) / item.slots)) : 0;
  const fill = element("span");
  fill.style.width = `${used}%`;
  const bar = element("div", "bar", fill);
  bar.setAttribute("aria-hidden", "true");
  return element("li", `worker ${item.role === "prefill" || item.role === "decode" ? item.role : ""}`,
    element("div", "first", element("b", "", item.address), element("span", "role", item.role || item.service)),
    element("div", className, `${symbol} ${label}`),
    element("div", "", `${item.running} running, ${item.readingTokens} tokens to process`),
    bar,
    element("div", "quiet", `${used}% of ${count(item.slots, "slot")} in use; ${(item.groups ?? []).join(", ") || "no matching group"}`));
}

const ruleColumns = [
  { title: "Rule", cell: (rule) => rule.name },
  { title: "Matches", cell: (rule) => rule.match },
  { title: "Groups", cell: (rule) => (rule.groups ?? []).join(", ") },
  { title: "Priority", number: true, cell: (rule) => rule.priority },
  { title: "Objective", number: true, cell: (rule) => `${rule.objectiveMs} ms` },
];

const gatewayColumns = [
  { title: "Gateway", cell: (gateway) => gateway.name },
  { title: "Zone", cell: (gateway) => gateway.zone },
  {
    title: "State",
    cell: (gateway) => element("span", gateway.reachable ? "good" : "bad", gateway.reachable ? "● reachable" : "✕ unreachable"),
  },
  { title: "Callers", cell: (gateway) => (gateway.entry ? "accepted" : "standby") },
];
