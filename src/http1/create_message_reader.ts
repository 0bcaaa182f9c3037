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
// Each chunk costs processing time, however small it is. The framing of a
// body's chunks may be at most this share of the body plus this many bytes.
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
 * Creates a reader that emits complete messages. After a fault it ignores all
 * further bytes, since it cannot be told where the faulty message ends. The
 * bytes kept of an unfinished message are reserved in `budget`.
 */
export function createMessageReader(
  { framing, limits, budget, onMessage, onFault, onContinue }: {
    framing: (startLine: string, fields: Fields) => Framing | "malformed";
    limits: () => MessageLimits;
    budget: ByteBudget;
    onMessage: (message: Message) => void;
    onFault: (fault: ReadFault) => void;
    /**
     * Called when a request expects `100 Continue` before it sends its body.
     */
    onContinue?: () => void;
  },
): MessageReader {
  const reservation = createByteReservation(budget);
  const body = createBodyBuffer();
  let state: State = "head";
  // Unread bytes begin at `at`; the first `searched` of them were already
  // searched for a delimiter.
  let buffer: Buffer = EMPTY;
  let at = 0;
  let searched = 0;
  // Memory in which chunks are joined; `buffer` is the filled part of it.
  let storage: Buffer = EMPTY;
  let startLine = "";
  let fields: Fields = [];
  // Bytes of the body, or of the current chunk, that have not been collected.
  let remaining = 0;
  // Bytes of the current message, each with its limit: blank lines before the
  // head, framing of chunks, trailers.
  let blankBytes = 0;
  let framingBytes = 0;
  let trailerBytes = 0;

  const close = () => {
    state = "failed";
    buffer = storage = EMPTY;
    at = 0;
    body.clear();
    reservation.resize(0);
  };
  const fail = (fault: ReadFault) => {
    close();
    onFault(fault);
    return false;
  };
  const finish = (content: Buffer, persistent: boolean) => {
    state = "head";
    blankBytes = framingBytes = trailerBytes = 0;
    reservation.resize(0);
    onMessage({ startLine, fields, body: content, persistent });
    return true;
  };
  const unread = () => buffer.length - at;
  /**
   * Returns the number of unread bytes before `delimiter`, or -1 if it has not
   * arrived yet.
   */
  const find = (delimiter: Buffer) => {
    const from = at + Math.max(0, searched - delimiter.length + 1);
    const found = buffer.indexOf(delimiter, from);
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
  /** Moves up to `remaining` unread bytes into the body. */
  const collect = () => {
    const bytes = Math.min(remaining, unread());
    body.add(buffer, at, at + bytes);
    at += bytes;
    remaining -= bytes;
  };

  /**
   * Each step parses one element. A step returns false if it needs more bytes
   * or failed.
   */
  const steps: Record<State, () => boolean> = {
    head() {
      const { headBytes, bodyBytes: maxBodyBytes } = limits();
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
      const bodyFraming = framing(startLine, fields);
      if (bodyFraming === "malformed") return fail("malformed");
      if (bodyFraming.kind === "chunked") {
        if (VERSION_1_0.test(startLine)) return fail("malformed");
        state = "chunk-line";
      } else if (bodyFraming.kind === "until-close") state = "until-close";
      else if (bodyFraming.bytes > maxBodyBytes) return fail("body-too-large");
      else if (bodyFraming.bytes === 0) return finish(EMPTY, isPersistent());
      else {
        remaining = bodyFraming.bytes;
        state = "fixed";
      }
      if (onContinue !== undefined && expectsContinue(fields)) onContinue();
      return true;
    },
    fixed() {
      if (body.bytes() === 0 && unread() >= remaining) {
        const content = buffer.subarray(at, at + remaining);
        at += remaining;
        return finish(content, isPersistent());
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
    for (let i = 0; i < fields.length; i += 2) {
      const name = fields[i]!;
      if (name.length === 10 && name.toLowerCase() === "connection") {
        connection += `,${fields[i + 1]}`;
      }
    }
    if (CLOSE.test(connection)) return false;
    return !VERSION_1_0.test(startLine) || KEEP_ALIVE.test(connection);
  }

  return {
    push(chunk) {
      if (state === "failed") return;
      append(chunk);
      while (steps[state]()) { /* each step parses one element */ }
      if (unread() === 0) {
        buffer = storage = EMPTY;
        at = 0;
      }
      if (!reservation.resize(unread() + body.bytes())) fail("no-room");
    },
    end() {
      if (state === "until-close") finish(body.take(), false);
    },
    close,
    partial: () => state !== "head" ? "body" : unread() > 0 ? "head" : "none",
  };
}

function expectsContinue(fields: Fields): boolean {
  for (let i = 0; i < fields.length; i += 2) {
    if (fields[i]!.toLowerCase() === "expect") return true;
  }
  return false;
}
