import type { InvalidMessage } from "./invalid_message.ts";
import { isFrequentMessage } from "./is_frequent_message.ts";
import { Message } from "./message.ts";

const MAX_KIND_LENGTH = 32;
const schemas: ReadonlyMap<unknown, typeof Message[keyof typeof Message]> =
  new Map(Object.entries(Message));

/** Checks a decoded frame of another daemon. */
export function readMessage(
  input: readonly unknown[],
): { ok: true; value: Message } | InvalidMessage {
  if (isFrequentMessage(input)) return { ok: true, value: input as Message };
  const [kind, stream] = input;
  const schema = schemas.get(kind);
  const invalid = {
    ok: false,
    kind: typeof kind === "string"
      ? kind.slice(0, MAX_KIND_LENGTH)
      : typeof kind,
    stream: Number.isSafeInteger(stream) ? stream as number : null,
  } as const;
  if (schema === undefined) {
    return { ...invalid, unknownKind: true, at: "0", problem: "Unknown kind" };
  }
  const parsed = schema.safeParse(input);
  if (parsed.success) return { ok: true, value: parsed.data };
  const { path, message } = parsed.error.issues[0]!;
  return {
    ...invalid,
    unknownKind: false,
    at: path.join("."),
    problem: message,
  };
}
