// Shows the decisions of this gateway live, newest first.
import { element, find } from "./dom.js";
import { clock, kinds, kindLabel } from "./words.js";

const maxKeptPerKind = 300; // per kind, so that frequent kinds do not displace rare ones
const initialPerKind = 50; // requested when the stream opens
const maxShown = 60;
const drawInterval = 500;
const heartbeatTimeout = 12000; // heartbeats are sent every 5 s
const fleetKinds = "!fleet";
const allKinds = "!all";

const kept = new Map(); // kind -> records, newest first
const keptKeys = new Set(); // keys of kept records
const items = new Map(); // key -> list item
let paused = false;
let changed = false;
let arrivedWhilePaused = 0;
let lastEvent = 0; // zero while the stream is broken

const key = (record) => `${record.process}/${record.sequence}/${record.time}`;

export function followDecisions() {
  fillKinds();
  find("filters").addEventListener("submit", (event) => event.preventDefault());
  find("kind").addEventListener("change", draw);
  find("search").addEventListener("input", draw);
  find("pause").addEventListener("click", () => setPaused(!paused));
  connect();
  setInterval(() => {
    if (changed && !paused) draw();
    showState();
  }, drawInterval);
}

function fillKinds() {
  const option = (value, label) => {
    const created = element("option", "", label);
    created.value = value;
    return created;
  };
  find("kind").append(option(fleetKinds, "Changes and failures"), option(allKinds, "All, including each request"),
    ...Object.keys(kinds).map((kind) => option(kind, kinds[kind].label)));
}

// connect opens the stream. The browser reconnects after errors; addRecord ignores records that are received twice.
function connect() {
  const source = new EventSource(`admin/v1/decisions/stream?latest=${initialPerKind}`);
  source.addEventListener("decision", (event) => {
    lastEvent = Date.now();
    addRecord(JSON.parse(event.data));
  });
  source.addEventListener("heartbeat", () => {
    lastEvent = Date.now();
  });
  source.addEventListener("error", () => {
    lastEvent = 0;
    if (source.readyState === EventSource.CLOSED) setTimeout(connect, 2000);
  });
}

function addRecord(record) {
  if (keptKeys.has(key(record))) return;
  keptKeys.add(key(record));
  const list = kept.get(record.kind) ?? [];
  kept.set(record.kind, list);
  let index = 0;
  while (index < list.length && list[index].time > record.time) index += 1;
  list.splice(index, 0, record);
  if (list.length > maxKeptPerKind) keptKeys.delete(key(list.pop()));
  changed = true;
  if (paused) arrivedWhilePaused += 1;
}

function setPaused(value) {
  paused = value;
  arrivedWhilePaused = 0;
  find("pause").setAttribute("aria-pressed", String(value));
  find("pause").textContent = value ? "Resume" : "Pause";
  if (!value) draw();
  showState();
}

function showState() {
  const parts = [];
  const connected = Date.now() - lastEvent < heartbeatTimeout;
  if (!connected) parts.push("Not connected: new decisions are not shown.");
  else if (paused) parts.push(`Paused; ${arrivedWhilePaused} new decisions.`);
  else parts.push("Live, newest first. Select one to see its inputs.");
  const text = parts.join(" ");
  // Only set changed text, so that screen readers do not repeat it twice a second.
  if (find("stream-state").textContent !== text) find("stream-state").textContent = text;
}

function selected() {
  const kind = find("kind").value;
  const wanted = find("search").value.trim().toLowerCase();
  const selectedKinds = [...kept.keys()].filter((name) =>
    kind === allKinds || kind === name || (kind === fleetKinds && !kinds[name]?.routine));
  return selectedKinds.flatMap((name) => kept.get(name)).filter((record) => !wanted || mentions(record, wanted))
    .sort((a, b) => (a.time < b.time ? 1 : a.time > b.time ? -1 : b.sequence - a.sequence)).slice(0, maxShown);
}

function mentions(record, wanted) {
  const texts = [record.subject, record.outcome, record.process, ...Object.values(record.inputs ?? {})];
  return texts.some((text) => text && text.toLowerCase().includes(wanted));
}

function draw() {
  changed = false;
  const records = selected();
  const wanted = new Set(records.map(key));
  for (const [itemKey, item] of items) {
    if (!wanted.has(itemKey)) {
      item.remove();
      items.delete(itemKey);
    }
  }
  find("nothing").hidden = records.length > 0;
  const list = find("decision-list");
  let next = list.firstChild;
  for (const record of records) {
    let item = items.get(key(record));
    if (!item) {
      item = decisionItem(record);
      items.set(key(record), item);
    }
    if (item === next) next = next.nextSibling;
    else list.insertBefore(item, next);
  }
}

function decisionItem(record) {
  const time = element("time", "", clock(record.time, true));
  time.dateTime = record.time;
  const summary = element("summary", "", time, " ", element("span", "what", kindLabel(record.kind)), ": ",
    element("span", "", record.subject), record.outcome ? ` → ${record.outcome}` : "", element("span", "reason", record.reason));
  const details = element("details", "", summary);
  details.addEventListener("toggle", () => {
    if (!details.open) return;
    if (details.children.length === 1) details.append(detail(record));
    if (!paused) setPaused(true); // so that the opened item does not move
  });
  return element("li", "", details);
}

function detail(record) {
  const facts = [["decided by", record.process]];
  if (record.version) facts.push(["routes", `version ${record.version}`]);
  if (record.fence) facts.push(["authority", `fence ${record.fence}`]);
  const inputs = Object.keys(record.inputs ?? {}).sort().map((name) => [name, record.inputs[name]]);
  return element("div", "detail", ...section("Inputs", inputs), ...section("Source", facts));
}

function section(title, rows) {
  if (rows.length === 0) return [];
  const list = element("dl");
  for (const [name, value] of rows) list.append(element("dt", "", name), element("dd", "", value));
  return [element("h3", "", title), list];
}
