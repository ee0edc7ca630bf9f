// Helpers that create elements. Text is never interpreted as markup, because request ids and labels come from callers.

// element creates an element with a class and children. Strings and numbers become text nodes.
export function element(tag, className, ...children) {
  const created = document.createElement(tag);
  if (className) created.className = className;
  created.append(...children.filter((child) => child !== null && child !== "").map((child) => (child instanceof Node ? child : String(child))));
  return created;
}

// table creates a table. Columns are {title, number, cell}; cell returns the content for a row.
export function table(columns, rows, className = "wide") {
  const head = element("tr", "", ...columns.map((column) => {
    const cell = element("th", column.number ? "number" : "", column.title);
    cell.scope = "col";
    return cell;
  }));
  const body = rows.map((row) => element("tr", "", ...columns.map((column) => {
    const cell = element("td", column.number ? "number" : "", element("span", "", column.cell(row)));
    cell.dataset.label = column.title;
    return cell;
  })));
  return element("table", className, element("thead", "", head), element("tbody", "", ...body));
}

export const find = (id) => document.getElementById(id);
