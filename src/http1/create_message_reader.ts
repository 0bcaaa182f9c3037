import type { ByteBudget } from "../core/byte_budget.ts";
import { createByteReservation } from "../core/create_byte_reservation.ts";
import { createBodyBuffer } from "./create_body_buffer.ts";
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
// Each chunk costs time, however small it is. What frames the chunks of a body
// may be this share of it, and this much besides.
const MAX_FRAMING_SHARE = 1 / 8;
const MAX_FRAMING_BYTES = 16 * 1024;
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
 * nothing more: what follows can't be told apart from the faulty message. What
 * it keeps of an unfinished message is held in `budget`.
 */
export function createMessageReader(
  { framing, limits, budget, onMessage, onFault, onContinue }: {
    framing: (startLine: string, fields: Fields) => Framing | "malformed";
    limits: () => MessageLimits;
    budget: ByteBudget;
    onMessage: (message: Message) => void;
    onFault: (fault: ReadFault) => void;
    /** A head asks for `100 Continue` before its body. */
    onContinue?: () => void;
  },
): MessageReader {
  const hold = createByteReservation(budget);
  const body = createBodyBuffer();
  let state: State = "head";
  // Unread bytes begin at `at`; the first `searched` of them were searched.
  let buffer: Buffer = EMPTY;
  let at = 0;
  let searched = 0;
  // Where joined chunks lie; `buffer` is its beginning.
  let storage: Buffer = EMPTY;
  let startLine = "";
  let fields: Fields = [];
  let remaining = 0;
  let blankBytes = 0;
  let framingBytes = 0;
  let trailerBytes = 0;

  const close = () => {
    state = "failed";
    buffer = storage = EMPTY;
    at = 0;
    body.clear();
    hold.resize(0);
  };
  const fail = (fault: ReadFault) => {
    close();
    onFault(fault);
    return false;
  };
  const finish = (whole: Buffer, persistent: boolean) => {
    state = "head";
    blankBytes = framingBytes = trailerBytes = 0;
    hold.resize(0);
    onMessage({ startLine, fields, body: whole, persistent });
    return true;
  };
  const unread = () => buffer.length - at;
  /** Returns how many bytes precede `mark`, or -1 where it isn't there yet. */
  const find = (mark: Buffer) => {
    const from = at + Math.max(0, searched - mark.length + 1);
    const found = buffer.indexOf(mark, from);
    searched = found < 0 ? unread() : 0;
    return found < 0 ? -1 : found - at;
  };
  const append = (chunk: Buffer) => {
    if (unread() === 0) {
      buffer = storage = chunk;
      at = 0;
      return;
    }
    if (buffer.length + chunk.length > storage.length) {
      const rest = buffer.subarray(at);
      storage = Buffer.allocUnsafe(2 * (rest.length + chunk.length));
      rest.copy(storage);
      buffer = storage.subarray(0, rest.length);
      at = 0;
    }
    chunk.copy(storage, buffer.length);
    buffer = storage.subarray(0, buffer.length + chunk.length);
  };
  /** Moves what there is of the `remaining` bytes into the body. */
  const collect = () => {
    const bytes = Math.min(remaining, unread());
    body.add(buffer, at, at + bytes);
    at += bytes;
    remaining -= bytes;
  };

  /** Each step reads one element; false means that it needs more bytes. */
  const steps: Record<State, () => boolean> = {
    head() {
      const { headBytes, bodyBytes: maxBody } = limits();
      while (unread() >= 2 && buffer[at] === 13 && buffer[at + 1] === 10) {
        at += 2;
        blankBytes += 2;
        searched = 0;
      }
      if (blankBytes > headBytes) return fail("head-too-large");
      if (unread() === 0) return false;
      const bytes = find(HEAD_END);
      if ((bytes < 0 ? unread() : bytes) > headBytes) {
        return fail("head-too-large");
      }
      if (bytes < 0) return false;
      const head = parseHead(buffer.toString("latin1", at, at + bytes));
      at += bytes + HEAD_END.length;
      if (head === null) return fail("malformed");
      ({ startLine, fields } = head);
      const stated = framing(startLine, fields);
      if (stated === "malformed") return fail("malformed");
      if (stated.kind === "chunked") {
        if (VERSION_1_0.test(startLine)) return fail("malformed");
        state = "chunk-line";
      } else if (stated.kind === "until-close") state = "until-close";
      else if (stated.bytes > maxBody) return fail("body-too-large");
      else if (stated.bytes === 0) return finish(EMPTY, isPersistent());
      else {
        remaining = stated.bytes;
        state = "fixed";
      }
      if (onContinue !== undefined && expectsContinue(fields)) onContinue();
      return true;
    },
    fixed() {
      if (body.bytes() === 0 && unread() >= remaining) {
        const whole = buffer.subarray(at, at + remaining);
        at += remaining;
        return finish(whole, isPersistent());
      }
      collect();
      return remaining === 0 && finish(body.take(), isPersistent());
    },
    "until-close"() {
      if (body.bytes() + unread() > limits().bodyBytes) {
        return fail("body-too-large");
      }
      remaining = unread();
      collect();
      return false;
    },
    "chunk-line"() {
      const bytes = find(LINE_END);
      if ((bytes < 0 ? unread() : bytes) > MAX_CHUNK_LINE_BYTES) {
        return fail("malformed");
      }
      if (bytes < 0) return false;
      const match = CHUNK_LINE.exec(buffer.toString("latin1", at, at + bytes));
      at += bytes + LINE_END.length;
      if (match === null) return fail("malformed");
      framingBytes += bytes + 2 * LINE_END.length;
      if (
        framingBytes > body.bytes() * MAX_FRAMING_SHARE + MAX_FRAMING_BYTES
      ) return fail("framing-too-large");
      remaining = parseInt(match[1]!, 16);
      if (body.bytes() + remaining > limits().bodyBytes) {
        return fail("body-too-large");
      }
      state = remaining === 0 ? "trailer" : "chunk";
      return true;
    },
    chunk() {
      if (unread() === 0) return false;
      collect();
      if (remaining === 0) state = "chunk-end";
      return true;
    },
    "chunk-end"() {
      if (unread() < LINE_END.length) return false;
      if (buffer[at] !== 13 || buffer[at + 1] !== 10) return fail("malformed");
      at += LINE_END.length;
      state = "chunk-line";
      return true;
    },
    trailer() {
      const bytes = find(LINE_END);
      const pending = bytes < 0 ? unread() : bytes;
      if (trailerBytes + pending > limits().headBytes) {
        return fail("head-too-large");
      }
      if (bytes < 0) return false;
      at += bytes + LINE_END.length;
      trailerBytes += bytes + LINE_END.length;
      return bytes === 0 ? finish(body.take(), isPersistent()) : true;
    },
    failed: () => false,
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
      if (state === "failed") return;
      append(chunk);
      while (steps[state]()) { /* each step reads one element */ }
      if (unread() === 0) {
        buffer = storage = EMPTY;
        at = 0;
      }
      if (!hold.resize(unread() + body.bytes())) fail("no-room");
    },
    end() {
      if (state === "until-close") finish(body.take(), false);
    },
    close,
    partial: () => state !== "head" ? "body" : unread() > 0 ? "head" : "none",
  };
}

function expectsContinue(fields: Fields): boolean {
  for (let at = 0; at < fields.length; at += 2) {
    if (fields[at]!.toLowerCase() === "expect") return true;
  }
  return false;
}
