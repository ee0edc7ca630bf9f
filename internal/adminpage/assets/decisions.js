// Follows the decisions of this gateway and shows them, newest first.
import { element, find } from "./dom.js";
import { clock, kinds, kindWords } from "./words.js";

const keptPerKind = 300; // so that routine decisions do not push out rare ones
const askedPerKind = 50; // at the start
const shown = 60;
const drawInterval = 500;
const silence = 12000; // heartbeats come each 5 s
const fleetChanges = "!fleet";
const everything = "!all";

const kept = new Map(); // kind -> records, newest first
const known = new Set(); // keys of kept records
const items = new Map(); // key -> list item
let paused = false;
let changed = false;
let arrived = 0; // since the pause began
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
  const option = (value, words) => {
    const made = element("option", "", words);
    made.value = value;
    return made;
  };
  find("kind").append(option(fleetChanges, "Changes and trouble"), option(everything, "Everything, each request too"),
    ...Object.keys(kinds).map((kind) => option(kind, kinds[kind].words)));
}

// connect opens the stream. The browser opens it again when it breaks; records that come twice are known by their keys.
function connect() {
  const source = new EventSource(`admin/v1/decisions/stream?latest=${askedPerKind}`);
  source.addEventListener("decision", (event) => {
    lastEvent = Date.now();
    take(JSON.parse(event.data));
  });
  source.addEventListener("heartbeat", () => {
    lastEvent = Date.now();
  });
  source.addEventListener("error", () => {
    lastEvent = 0;
    if (source.readyState === EventSource.CLOSED) setTimeout(connect, 2000);
  });
}

function take(record) {
  if (known.has(key(record))) return;
  known.add(key(record));
  const list = kept.get(record.kind) ?? [];
  kept.set(record.kind, list);
  let place = 0;
  while (place < list.length && list[place].time > record.time) place += 1;
  list.splice(place, 0, record);
  if (list.length > keptPerKind) known.delete(key(list.pop()));
  changed = true;
  if (paused) arrived += 1;
}

function setPaused(value) {
  paused = value;
  arrived = 0;
  find("pause").setAttribute("aria-pressed", String(value));
  find("pause").textContent = value ? "Go on" : "Pause";
  if (!value) draw();
  showState();
}

function showState() {
  const parts = [];
  const connected = Date.now() - lastEvent < silence;
  if (!connected) parts.push("Not connected: new decisions are not shown.");
  else if (paused) parts.push(`Paused; ${arrived} new ones wait.`);
  else parts.push("Live, newest first. Choose one to see what was weighed.");
  const text = parts.join(" ");
  // Only real changes, so that screen readers are not told each half second.
  if (find("stream-state").textContent !== text) find("stream-state").textContent = text;
}

function selected() {
  const kind = find("kind").value;
  const wanted = find("search").value.trim().toLowerCase();
  const chosen = [...kept.keys()].filter((each) =>
    kind === everything || kind === each || (kind === fleetChanges && !kinds[each]?.routine));
  return chosen.flatMap((each) => kept.get(each)).filter((record) => !wanted || mentions(record, wanted))
    .sort((a, b) => (a.time < b.time ? 1 : a.time > b.time ? -1 : b.sequence - a.sequence)).slice(0, shown);
}

function mentions(record, wanted) {
  const texts = [record.subject, record.outcome, record.process, ...Object.values(record.inputs ?? {})];
  return texts.some((text) => text && text.toLowerCase().includes(wanted));
}

function draw() {
  changed = false;
  const records = selected();
  const wanted = new Set(records.map(key));
  for (const [each, item] of items) {
    if (!wanted.has(each)) {
      item.remove();
      items.delete(each);
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
  const summary = element("summary", "", time, " ", element("span", "what", kindWords(record.kind)), ": ",
    element("span", "", record.subject), record.outcome ? ` → ${record.outcome}` : "", element("span", "reason", record.reason));
  const details = element("details", "", summary);
  details.addEventListener("toggle", () => {
    if (!details.open) return;
    if (details.children.length === 1) details.append(detail(record));
    if (!paused) setPaused(true); // so that what is read does not move away
  });
  return element("li", "", details);
}

function detail(record) {
  const facts = [["decided by", record.process]];
  if (record.version) facts.push(["routes", `version ${record.version}`]);
  if (record.fence) facts.push(["authority", `fence ${record.fence}`]);
  const inputs = Object.keys(record.inputs ?? {}).sort().map((name) => [name, record.inputs[name]]);
  return element("div", "detail", ...part("What counted", inputs), ...part("Where", facts));
}

function part(title, rows) {
  if (rows.length === 0) return [];
  const list = element("dl");
  for (const [name, value] of rows) list.append(element("dt", "", name), element("dd", "", value));
  return [element("h3", "", title), list];
}
