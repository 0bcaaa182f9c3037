import { Buffer } from "node:buffer";
import { type Dispatcher, request } from "undici";
import { withTimeout } from "../core/with_timeout.ts";
import { equalMacs } from "./equal_macs.ts";
import { formatCredential } from "./format_credential.ts";
import { HEADER } from "./header.ts";
import { issueCredential } from "./issue_credential.ts";
import { learnEpoch } from "./learn_epoch.ts";
import { MAX_RESPONSE_BYTES } from "./max_response_bytes.ts";
import { signResponse } from "./sign_response.ts";
import type { Signer } from "./signer.ts";

type Options = {
  signer: Signer;
  dispatcher: Dispatcher;
  /** Time-out of one attempt, from connecting to the last byte, in ms. */
  timeoutMs: number;
  /** Epoch of a recipient according to its directory entry. */
  expectedEpoch(recipient: string): string | undefined;
};

/** The options of `fetch` that tRPC links pass. */
type Init = {
  method?: string;
  body?: unknown;
  headers?: unknown;
  signal?: AbortSignal | null;
};
/** A response whose MAC is not yet checked. */
type Reply = { status: number; epoch: string; mac: string; body: Buffer };

/**
 * Returns a `fetch` for tRPC links that signs requests and checks the MAC of
 * responses. If the recipient reports another epoch, the request is signed for
 * that one and sent once more.
 *
 * Throws if no response arrives in time or its MAC is invalid.
 */
export function createControlFetch(options: Options) {
  return async (input: URL | string | { url: string }, init: Init = {}) => {
    const url = new URL(
      typeof input === "string" || input instanceof URL ? input : input.url,
    );
    const first = await send(options, url, init);
    const exchange = first.reply.status === 401 &&
        first.reply.epoch !== first.credential.epoch
      ? await resend(options, { url, init, epoch: first.reply.epoch })
      : first;
    const { status, body } = exchange.reply;
    const mac = signResponse(options.signer.key, {
      requestMac: exchange.credential.mac,
      status,
      body,
    });
    if (!equalMacs(mac, exchange.reply.mac)) {
      throw new Error(`Control response has no valid MAC (status ${status})`);
    }
    return {
      ok: status < 300,
      status,
      json: () => Promise.resolve(JSON.parse(body.toString())),
    };
  };
}

function resend(
  options: Options,
  { url, init, epoch }: { url: URL; init: Init; epoch: string },
) {
  learnEpoch(options.signer, { recipient: url.host, epoch });
  return send(options, url, init);
}

async function send(
  { signer, dispatcher, timeoutMs, expectedEpoch }: Options,
  url: URL,
  init: Init,
) {
  const method = init.method ?? "GET";
  const path = url.pathname + url.search;
  const recipient = url.host;
  const body = Buffer.from(typeof init.body === "string" ? init.body : "");
  const credential = issueCredential(signer, {
    method,
    path,
    recipient,
    expectedEpoch: expectedEpoch(recipient),
    body,
  });
  const reply = await withTimeout(timeoutMs, async (signal) => {
    const response = await request(url, {
      method: method as Dispatcher.HttpMethod,
      headers: {
        "content-type": "application/json",
        [HEADER.credential]: formatCredential(credential),
      },
      body: body.length > 0 ? body : null,
      dispatcher,
      signal: init.signal ? AbortSignal.any([signal, init.signal]) : signal,
    });
    return readReply(response);
  });
  return { credential, reply };
}

async function readReply(response: Dispatcher.ResponseData): Promise<Reply> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_RESPONSE_BYTES) throw new Error("Response is too large");
    chunks.push(chunk);
  }
  return {
    status: response.statusCode,
    epoch: String(response.headers[HEADER.epoch] ?? ""),
    mac: String(response.headers[HEADER.mac] ?? ""),
    body: Buffer.concat(chunks),
  };
}
