import { sanitizeText } from "./sanitize_text.ts";

const COLUMN_SEPARATOR = "  ";

/** Formats rows of text as aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const cells = rows.map((row) => row.map(formatCell));
  const widths: number[] = [];
  for (const row of cells) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(
      COLUMN_SEPARATOR,
    ).trimEnd()
  ).join("\n") + "\n";
}

function formatCell(cell: string): string {
  return cell === "" ? "-" : sanitizeText(cell);
}
