import { readText } from "./read_text.ts";

const WITH_VERSION = /^(.+)@([1-9]\d{0,8})$/;

/** Reads the file that an argument `FILE` or `FILE@VERSION` names. */
export function readAgreedFile(
  argument: string,
):
  | { ok: true; text: string; version: number | null }
  | { ok: false; message: string } {
  const [, file = argument, version] = WITH_VERSION.exec(argument) ?? [];
  const read = readText(file);
  if (!read.ok) return read;
  return { ...read, version: version === undefined ? null : Number(version) };
}
