// Shows zones, engines, groups, rules and routers.
import { element, find, table } from "./dom.js";
import { clock, count, counts, engineState, routerState } from "./words.js";

// enginesShown bounds the engines of one zone on the page.
const enginesShown = 24;

export function showFleet({ status, engines, groups, rules, routers, configuration }) {
  find("seen-from").textContent = `as ${status.router} in ${status.zone} sees it, version ${status.version}` +
    (status.stopping ? "; this router is stopping" : status.ready ? "" : "; this router takes no requests yet");
  find("summary").textContent = summary(status, configuration);
  find("warnings").replaceChildren(...(status.warnings ?? []).map((warning) => element("li", "", warning)));
  find("groups").replaceChildren(...groups.map(group));
  find("zones").replaceChildren(...zones(engines));
  find("rules").replaceChildren(table(ruleColumns, rules));
  find("routers").replaceChildren(table(routerColumns, routers));
}

function summary(status, configuration) {
  const behind = (configuration.laggards ?? []).map((laggard) => laggard.process);
  const inForce = behind.length === 0 ? "in force everywhere" : `not yet in force at ${behind.join(", ")}`;
  return `${count(status.engines, "engine")} (${counts(status.engineStates)}), ${count(status.liveRouters, "live router")}. ` +
    `${count(status.runningRequests, "request")} running, ${status.waitingRequests} waiting. ` +
    `Configuration revision ${configuration.accepted} is ${inForce}. ` +
    `${count(status.roleChanges, "role change")} since the routers started.`;
}

function group(each) {
  const engines = element("p", "", `${count(each.engines, "engine")}: ${counts(each.roles) || "none"}` +
    (each.changing ? `; ${each.changing} of them out for a change` : ""));
  const work = element("p", "quiet", `serves ${(each.models ?? []).join(", ")}; ${each.runningRequests} running and ${each.waitingRequests} waiting at its engines; selects engines by ${each.engineSelector}`);
  const plan = element("p", "plan", each.plan ? `Latest plan, made at ${clock(each.planMadeAt)}: ${each.plan}` : "No change of roles was planned yet: the split fits the load.");
  return element("div", "group", element("h3", "", each.name), engines, plan, work);
}

function zones(engines) {
  const byZone = new Map();
  for (const each of engines) byZone.set(each.zone, [...(byZone.get(each.zone) ?? []), each]);
  return [...byZone.keys()].sort().map((name) => zone(name, byZone.get(name)));
}

function zone(name, engines) {
  const running = engines.reduce((sum, each) => sum + each.runningRequests, 0);
  const hidden = engines.length - enginesShown;
  return element("div", "zone",
    element("h3", "", `${name}: ${count(engines.length, "engine")}, ${count(running, "request")} running`),
    element("ul", "engines", ...engines.slice(0, enginesShown).map(engine)),
    hidden > 0 ? element("p", "quiet", `and ${hidden} more; granitebay get engines lists all`) : null);
}

function engine(each) {
  const [words, sign, className] = engineState(each.state);
  const memory = each.memoryTotal > 0 ? Math.round((100 * each.memoryUsed) / each.memoryTotal) : 0;
  const fill = element("span");
  fill.style.width = `${memory}%`;
  const bar = element("div", "bar", fill);
  bar.setAttribute("aria-hidden", "true");
  return element("li", `engine ${each.role === "prefill" || each.role === "decode" ? each.role : ""}`,
    element("div", "first", element("b", "", each.name), element("span", "role", each.role === "none" || !each.role ? "no role yet" : each.role)),
    element("div", className, `${sign} ${words}`),
    element("div", "", `${each.runningRequests} running, ${each.waitingRequests} waiting`),
    bar,
    element("div", "quiet", `memory ${memory}% full; owner ${each.owner || "none"}`));
}

const ruleColumns = [
  { title: "Rule", cell: (rule) => rule.name },
  { title: "Takes", cell: (rule) => rule.requestSelector || "all other requests" },
  { title: "Groups", cell: (rule) => (rule.groups ?? []).join(", ") },
  { title: "Priority", number: true, cell: (rule) => rule.priority },
  { title: "Running", number: true, cell: (rule) => rule.runningRequests },
  { title: "Waiting", number: true, cell: (rule) => rule.waitingRequests },
];

const routerColumns = [
  { title: "Router", cell: (router) => router.name },
  { title: "Zone", cell: (router) => router.zone },
  {
    title: "State",
    cell: (router) => {
      const [words, sign, className] = routerState(router.state);
      return element("span", className, `${sign} ${words}`);
    },
  },
  { title: "Configuration", number: true, cell: (router) => router.configRevision },
  { title: "Engines owned", number: true, cell: (router) => router.ownedEngines },
];
