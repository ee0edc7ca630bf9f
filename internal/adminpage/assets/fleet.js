// Shows zones, workers, groups, rules and gateways.
import { element, find, table } from "./dom.js";
import { count, counts, workerState } from "./words.js";

// workersShown bounds the workers of one zone on the page.
const workersShown = 24;

export function showFleet({ status, workers, groups, rules, gateways }) {
  find("seen-from").textContent = `as ${status.gateway} in ${status.zone} sees it, version ${status.version}` +
    (status.stopping ? "; this gateway is stopping" : status.ready ? "" : "; this gateway takes no requests yet");
  find("summary").textContent = summary(status);
  find("warnings").replaceChildren(...(status.warnings ?? []).map((warning) => element("li", "", warning)));
  find("groups").replaceChildren(...groups.map(group));
  find("zones").replaceChildren(...zones(workers));
  find("rules").replaceChildren(table(ruleColumns, rules));
  find("gateways").replaceChildren(table(gatewayColumns, gateways));
}

function summary(status) {
  return `Workers: ${counts(status.workers) || "none"}. ${count(status.gateways, "gateway")}, of which ${status.entries} take callers. ` +
    `${count(status.inHand, "request")} in hand here. Routes version ${status.routeVersion} and rules by labels revision ${status.revision} ` +
    `are in force here; the store was followed ${status.storeAgeMillis} ms ago.` +
    (status.givesOrders ? " This gateway gives the orders to change roles." : "");
}

function group(each) {
  const workers = element("p", "", `${count(each.workers, "worker")}: ${counts(each.roles) || "none"}`);
  const work = element("p", "quiet", `${each.running} running, ${each.readingTokens} prompt tokens to read` + (each.of ? `; selected from ${each.of}` : ""));
  return element("div", "group", element("h3", "", each.name), workers, work);
}

function zones(workers) {
  const byZone = new Map();
  for (const each of workers) byZone.set(each.zone, [...(byZone.get(each.zone) ?? []), each]);
  return [...byZone.keys()].sort().map((name) => zone(name, byZone.get(name)));
}

function zone(name, workers) {
  const running = workers.reduce((sum, each) => sum + each.running, 0);
  const hidden = workers.length - workersShown;
  return element("div", "zone",
    element("h3", "", `${name}: ${count(workers.length, "worker")}, ${count(running, "request")} running`),
    element("ul", "workers", ...workers.slice(0, workersShown).map(worker)),
    hidden > 0 ? element("p", "quiet", `and ${hidden} more; granitebay get workers lists all`) : null);
}

function worker(each) {
  const [words, sign, className] = workerState(each.state);
  const used = each.slots > 0 ? Math.min(100, Math.round((100 * each.running) / each.slots)) : 0;
  const fill = element("span");
  fill.style.width = `${used}%`;
  const bar = element("div", "bar", fill);
  bar.setAttribute("aria-hidden", "true");
  return element("li", `worker ${each.role === "prefill" || each.role === "decode" ? each.role : ""}`,
    element("div", "first", element("b", "", each.address), element("span", "role", each.role || each.service)),
    element("div", className, `${sign} ${words}`),
    element("div", "", `${each.running} running, ${each.readingTokens} tokens to read`),
    bar,
    element("div", "quiet", `${used}% of ${count(each.slots, "slot")} in use; ${(each.groups ?? []).join(", ") || "no group by labels"}`));
}

const ruleColumns = [
  { title: "Rule", cell: (rule) => rule.name },
  { title: "Takes", cell: (rule) => rule.match },
  { title: "Groups", cell: (rule) => (rule.groups ?? []).join(", ") },
  { title: "Priority", number: true, cell: (rule) => rule.priority },
  { title: "Objective", number: true, cell: (rule) => `${rule.objectiveMs} ms` },
];

const gatewayColumns = [
  { title: "Gateway", cell: (gateway) => gateway.name },
  { title: "Zone", cell: (gateway) => gateway.zone },
  {
    title: "State",
    cell: (gateway) => element("span", gateway.reachable ? "good" : "bad", gateway.reachable ? "● heard" : "✕ silent"),
  },
  { title: "Callers", cell: (gateway) => (gateway.entry ? "are sent here" : "stands by") },
];
