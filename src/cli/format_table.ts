const GAP = "  ";

/** Aligns rows of text in columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const cells = rows.map((row) => row.map(printable));
  const widths: number[] = [];
  for (const row of cells) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP).trimEnd()
  ).join("\n") + "\n";
}

/** Text of other parties must not control the terminal. */
function printable(cell: string): string {
  return cell === "" ? "-" : cell.replace(/\p{Cc}/gu, "?");
}
