// Helpers that build elements. Text is always set as text, never as markup, because request ids and labels come from
// callers.

// element makes an element with a class and children; strings and numbers become text.
export function element(tag, className, ...children) {
  const made = document.createElement(tag);
  if (className) made.className = className;
  made.append(...children.filter((child) => child !== null && child !== "").map((child) => (child instanceof Node ? child : String(child))));
  return made;
}

// table makes a table. Columns are {title, number, cell}, where cell gives the content for a row.
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
