import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";
import type { Message } from "./message.ts";
import type { MessageLimits } from "./message_limits.ts";
import type { MessageReader } from "./message_reader.ts";
import { parseHead } from "./parse_head.ts";
import type { ReadFault } from "./read_fault.ts";

const EMPTY = Buffer.alloc(0);
const LINE_END = Buffer.from("\r\n");
const HEAD_END = Buffer.from("\r\n\r\n");
const CHUNK_LINE = /^([0-9a-fA-F]{1,8})(?:[ \t]*;[^\0\r\n]*)?$/;
const MAX_CHUNK_LINE_BYTES = 256;
const VERSION_1_0 = / HTTP\/1\.0$|^HTTP\/1\.0 /;
const CLOSE = /(?:^|,)[ \t]*close[ \t]*(?:,|$)/i;
const KEEP_ALIVE = /(?:^|,)[ \t]*keep-alive[ \t]*(?:,|$)/i;

type State =
  | "head"
  | "fixed"
  | "until-close"
  | "chunk-line"
  | "chunk"
  | "chunk-end"
  | "trailer"
  | "failed";

/**
 * Creates a reader that hands out whole messages. After a fault it reads
 * nothing more: what follows can't be told apart from the faulty message.
 */
export function createMessageReader(
  { framing, limits, onMessage, onFault, onContinue }: {
    framing: (startLine: string, fields: Fields) => Framing | "malformed";
    limits: () => MessageLimits;
    onMessage: (message: Message) => void;
    onFault: (fault: ReadFault) => void;
    /** A head asks for `100 Continue` before its body. */
    onContinue?: () => void;
  },
): MessageReader {
  let state: State = "head";
  let buffer: Buffer = EMPTY;
  let startLine = "";
  let fields: Fields = [];
  let parts: Buffer[] = [];
  let bodyBytes = 0;
  let remaining = 0;

  const fail = (fault: ReadFault) => {
    state = "failed";
    buffer = EMPTY;
    parts = [];
    onFault(fault);
    return false;
  };
  const finish = (persistent: boolean) => {
    const body = parts.length === 0
      ? EMPTY
      : parts.length === 1
      ? parts[0]!
      : Buffer.concat(parts, bodyBytes);
    state = "head";
    parts = [];
    bodyBytes = 0;
    onMessage({ startLine, fields, body, persistent });
    return true;
  };
  const take = (bytes: number) => {
    const part = buffer.subarray(0, bytes);
    buffer = buffer.subarray(bytes);
    parts.push(part);
    bodyBytes += bytes;
    return part;
  };

  /** Each step reads one element; false means that it needs more bytes. */
  const steps: Record<State, () => boolean> = {
    head() {
      while (buffer.length >= 2 && buffer[0] === 13 && buffer[1] === 10) {
        buffer = buffer.subarray(2);
      }
      if (buffer.length === 0) return false;
      const end = buffer.indexOf(HEAD_END);
      const { headBytes, bodyBytes: maxBody } = limits();
      if ((end < 0 ? buffer.length : end) > headBytes) {
        return fail("head-too-large");
      }
      if (end < 0) return false;
      const head = parseHead(buffer.toString("latin1", 0, end));
      buffer = buffer.subarray(end + HEAD_END.length);
      if (head === null) return fail("malformed");
      ({ startLine, fields } = head);
      const stated = framing(startLine, fields);
      if (stated === "malformed") return fail("malformed");
      if (stated.kind === "chunked") {
        if (VERSION_1_0.test(startLine)) return fail("malformed");
        state = "chunk-line";
      } else if (stated.kind === "until-close") state = "until-close";
      else if (stated.bytes > maxBody) return fail("body-too-large");
      else if (stated.bytes === 0) return finish(isPersistent());
      else {
        remaining = stated.bytes;
        state = "fixed";
      }
      if (onContinue !== undefined && expectsContinue(fields)) onContinue();
      return true;
    },
    fixed() {
      if (buffer.length === 0) return false;
      remaining -= take(Math.min(remaining, buffer.length)).length;
      return remaining === 0 && finish(isPersistent());
    },
    "until-close"() {
      if (buffer.length === 0) return false;
      take(buffer.length);
      if (bodyBytes > limits().bodyBytes) return fail("body-too-large");
      return false;
    },
    "chunk-line"() {
      const end = buffer.indexOf(LINE_END);
      if ((end < 0 ? buffer.length : end) > MAX_CHUNK_LINE_BYTES) {
        return fail("malformed");
      }
      if (end < 0) return false;
      const match = CHUNK_LINE.exec(buffer.toString("latin1", 0, end));
      buffer = buffer.subarray(end + LINE_END.length);
      if (match === null) return fail("malformed");
      remaining = parseInt(match[1]!, 16);
      if (bodyBytes + remaining > limits().bodyBytes) {
        return fail("body-too-large");
      }
      state = remaining === 0 ? "trailer" : "chunk";
      return true;
    },
    chunk() {
      if (buffer.length === 0) return false;
      remaining -= take(Math.min(remaining, buffer.length)).length;
      if (remaining === 0) state = "chunk-end";
      return true;
    },
    "chunk-end"() {
      if (buffer.length < LINE_END.length) return false;
      if (buffer[0] !== 13 || buffer[1] !== 10) return fail("malformed");
      buffer = buffer.subarray(LINE_END.length);
      state = "chunk-line";
      return true;
    },
    trailer() {
      const end = buffer.indexOf(LINE_END);
      if ((end < 0 ? buffer.length : end) > limits().headBytes) {
        return fail("head-too-large");
      }
      if (end < 0) return false;
      buffer = buffer.subarray(end + LINE_END.length);
      return end === 0 ? finish(isPersistent()) : true;
    },
    failed() {
      buffer = EMPTY;
      return false;
    },
  };

  function isPersistent(): boolean {
    let connection = "";
    for (let at = 0; at < fields.length; at += 2) {
      const name = fields[at]!;
      if (name.length === 10 && name.toLowerCase() === "connection") {
        connection += `,${fields[at + 1]}`;
      }
    }
    if (CLOSE.test(connection)) return false;
    return !VERSION_1_0.test(startLine) || KEEP_ALIVE.test(connection);
  }

  return {
    push(chunk) {
      buffer = buffer.length === 0 ? chunk : Buffer.concat([buffer, chunk]);
      while (steps[state]()) { /* each step reads one element */ }
    },
    end() {
      if (state === "until-close") finish(false);
    },
    partial: () =>
      state !== "head" ? "body" : buffer.length > 0 ? "head" : "none",
  };
}

function expectsContinue(fields: Fields): boolean {
  for (let at = 0; at < fields.length; at += 2) {
    if (fields[at]!.toLowerCase() === "expect") return true;
  }
  return false;
}
