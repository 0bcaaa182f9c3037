import { readFileSync } from "node:fs";

const STANDARD_INPUT = 0;

/** Reads a file, or standard input for `-`. */
export function readText(
  file: string,
): { ok: true; text: string } | { ok: false; message: string } {
  try {
    const source = file === "-" ? STANDARD_INPUT : file;
    return { ok: true, text: readFileSync(source, "utf8") };
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return {
      ok: false,
      message: `File ${file}: found ${code}, expected a readable file`,
    };
  }
}
