import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnyRouter } from "@trpc/server";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { Logger } from "../core/logger.ts";
import { authenticate } from "./authenticate.ts";
import { epochOf } from "./epoch_of.ts";
import type { Verifier } from "./verifier.ts";
import { HEADER } from "./header.ts";
import { MAX_CONTROL_BYTES } from "./max_control_bytes.ts";
import { readBody } from "./read_body.ts";
import type { Rejection } from "./rejection.ts";
import { signOnEnd } from "./sign_on_end.ts";

const PREFIX = "/-/rpc/";

const STATUS: Record<Rejection, number> = {
  unsigned: 401,
  forged: 401,
  "wrong-epoch": 401,
  replayed: 401,
  oversized: 413,
  malformed: 400,
};

type Parts = { verifier: Verifier; router: AnyRouter; log: Logger };

/**
 * Returns the handler of requests under `/-/rpc/`. Every message is checked on
 * its raw body before tRPC sees it; what is rejected is counted and logged.
 */
export function createControlHandler(
  parts: Parts,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    try {
      await handle(parts, request, response);
    } catch (error) {
      parts.log("control-aborted", { error: String(error) });
      response.destroy();
    }
  };
}

async function handle(
  { verifier: guard, router, log }: Parts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const reject = (reason: Rejection) => {
    guard.rejected[reason]++;
    const { remoteAddress } = request.socket;
    log("control-rejected", { reason, peer: remoteAddress, path: request.url });
    return STATUS[reason];
  };
  const refuse = (reason: Rejection) => {
    response.writeHead(reject(reason), {
      [HEADER.epoch]: epochOf(guard.window),
      // What is left of an oversized body is not read.
      ...(reason === "oversized" && { connection: "close" }),
    }).end(reason);
  };
  const path = request.url ?? "";
  const method = request.method ?? "";
  const body = await readBody(request, MAX_CONTROL_BYTES);
  if (body === null) return refuse("oversized");
  const header = request.headers[HEADER.credential] as string | undefined;
  const checked = authenticate(guard, { method, path, header, body });
  if (!checked.ok) return refuse(checked.reason);
  const { sender, mac } = checked.credential;
  signOnEnd(response, { key: guard.key, requestMac: mac });
  // An empty body is left out: tRPC takes it for malformed JSON.
  if (body.length > 0) Object.assign(request, { body: body.toString() });
  await nodeHTTPRequestHandler({
    router,
    req: request,
    res: response,
    path: path.split("?")[0]!.slice(PREFIX.length),
    createContext: () => ({ sender }),
    allowBatching: false,
    onError: ({ error }) => {
      if (error.code === "INTERNAL_SERVER_ERROR") {
        log("control-failed", { path, error: error.message });
      } else reject("malformed");
    },
  });
}
